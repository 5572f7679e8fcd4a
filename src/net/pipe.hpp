// A bounded byte queue between the connection that a body is read from and the one that it is written to.
// Does no I/O: each end is notified of the other's actions and reads or writes its own socket.
#ifndef MERLINRUN_NET_PIPE_HPP_
#define MERLINRUN_NET_PIPE_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace merlinrun::net {

// One writer and one reader on one thread. Callbacks run inside the other end's calls, as their last action.
class Pipe {
 public:
  enum class State {
    kOpen,     // more data may follow
    kEnded,    // all data has been written
    kAborted,  // the rest of the data will never be written
  };

  explicit Pipe(std::size_t capacity) : capacity_(capacity) {}
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  // ---- Writer ----

  // When full, the writer should wait for `on_space`. Data written nevertheless is kept: one read may exceed
  // the capacity.
  bool full() const { return data_.size() - begin_ >= capacity_; }
  void Write(std::string_view bytes) {
    if (state_ != State::kOpen || reader_gone_ || bytes.empty()) return;
    if (begin_ > 0) data_.erase(0, std::exchange(begin_, 0));
    data_.append(bytes);
    Notify(on_data_);
  }
  void End() { Finish(State::kEnded); }
  void Abort() { Finish(State::kAborted); }
  // `on_space`: the pipe is no longer full. `on_reader_gone`: the reader has called StopReading.
  void SetWriter(std::function<void()> on_space, std::function<void()> on_reader_gone) {
    on_space_ = std::move(on_space);
    on_reader_gone_ = std::move(on_reader_gone);
  }

  // ---- Reader ----

  // The unread data; valid until the next call to the pipe.
  std::string_view data() const { return std::string_view(data_).substr(begin_); }
  State state() const { return state_; }
  // Removes `n` bytes of `data`. After that the body can't be read from its start any more.
  void Consume(std::size_t n) {
    if (n == 0) return;
    const bool was_full = full();
    begin_ += n;
    consumed_ = true;
    if (begin_ == data_.size()) data_.clear(), begin_ = 0;
    if (was_full && !full()) Notify(on_space_);
  }
  bool consumed() const { return consumed_; }
  // `on_data`: there is more data, or the state has changed. Null: there is no reader for now.
  void SetReader(std::function<void()> on_data) { on_data_ = std::move(on_data); }
  // Discards the data; nothing will be read any more.
  void StopReading() {
    if (std::exchange(reader_gone_, true)) return;
    on_data_ = nullptr;
    data_ = {};
    begin_ = 0;
    Notify(on_reader_gone_);
  }

 private:
  void Finish(State state) {
    if (state_ != State::kOpen) return;
    state_ = state;
    on_space_ = on_reader_gone_ = nullptr;
    Notify(on_data_);
  }
  // Calls a copy, as the callback may replace itself.
  static void Notify(const std::function<void()>& callback) {
    if (const auto call = callback) call();
  }

  const std::size_t capacity_;
  std::string data_;
  std::size_t begin_ = 0;  // consumed bytes at the start of data_
  State state_ = State::kOpen;
  bool consumed_ = false;
  bool reader_gone_ = false;
  std::function<void()> on_data_;
  std::function<void()> on_space_;
  std::function<void()> on_reader_gone_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_PIPE_HPP_
