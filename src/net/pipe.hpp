// A bounded queue of bytes between the connection that a body comes by and the one that it goes on by. Free
// of I/O: each end is told when the other has done something, and reads or writes its own socket then.
#ifndef MERLINRUN_NET_PIPE_HPP_
#define MERLINRUN_NET_PIPE_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace merlinrun::net {

// One writer, one reader at a time, one thread. Callbacks are called from within the other end's calls, as
// the last thing that these do.
class Pipe {
 public:
  enum class State {
    kOpen,    // more comes
    kEnded,   // all has come
    kBroken,  // what is missing never comes
  };

  explicit Pipe(std::size_t most) : most_(most) {}
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  // ---- The writer's end ----

  // No more is to be written until on_room. What is written all the same is kept: one read may go over.
  bool full() const { return data_.size() - begin_ >= most_; }
  void Write(std::string_view bytes) {
    if (state_ != State::kOpen || left_ || bytes.empty()) return;
    if (begin_ > 0) data_.erase(0, std::exchange(begin_, 0));
    data_.append(bytes);
    Tell(on_data_);
  }
  void End() { Finish(State::kEnded); }
  void Break() { Finish(State::kBroken); }
  // `room`: it is no longer full. `left`: the reader is not interested any more.
  void SetWriter(std::function<void()> room, std::function<void()> left) {
    on_room_ = std::move(room);
    on_left_ = std::move(left);
  }

  // ---- The reader's end ----

  // What has come and not been taken; valid until the next call to this.
  std::string_view data() const { return std::string_view(data_).substr(begin_); }
  State state() const { return state_; }
  // Takes so many bytes of `data`. From then on the body cannot be read from its beginning.
  void Consume(std::size_t n) {
    if (n == 0) return;
    const bool was_full = full();
    begin_ += n;
    taken_ = true;
    if (begin_ == data_.size()) data_.clear(), begin_ = 0;
    if (was_full && !full()) Tell(on_room_);
  }
  bool spent() const { return taken_; }
  // `data`: there is more, or the state has changed. Null: nobody reads.
  void SetReader(std::function<void()> data) { on_data_ = std::move(data); }
  // Nobody will read the rest.
  void Leave() {
    if (std::exchange(left_, true)) return;
    on_data_ = nullptr;
    data_ = {};
    begin_ = 0;
    Tell(on_left_);
  }

 private:
  void Finish(State state) {
    if (state_ != State::kOpen) return;
    state_ = state;
    on_room_ = on_left_ = nullptr;
    Tell(on_data_);
  }
  // A copy: what is called may set another or none.
  static void Tell(const std::function<void()>& callback) {
    if (const auto call = callback) call();
  }

  const std::size_t most_;
  std::string data_;
  std::size_t begin_ = 0;  // bytes of data_ that have been taken
  State state_ = State::kOpen;
  bool taken_ = false;
  bool left_ = false;
  std::function<void()> on_data_;
  std::function<void()> on_room_;
  std::function<void()> on_left_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_PIPE_HPP_
