#include "mesh/node/worker.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace fennelhollow::node {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;

class Worker::Impl : public std::enable_shared_from_this<Worker::Impl> {
 public:
  Impl(asio::io_context& io, std::size_t most) : most_(most), wake_(io) {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
      throw boost::system::system_error(ErrorCode(errno, boost::system::system_category()), "pipe2");
    }
    wake_.assign(ends[0]);
    write_end_ = ends[1];
  }
  ~Impl() { ::close(write_end_); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start() {
    Await();
    thread_ = std::thread([this] { Work(); });
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      queued_.clear();
    }
    more_.notify_one();
    if (thread_.joinable()) thread_.join();
    ErrorCode ignored;
    wake_.close(ignored);
  }

  bool Run(std::function<void()> work, std::function<void()> done) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ || pending_ >= most_) return false;
      ++pending_;
      queued_.push_back({std::move(work), std::move(done)});
    }
    more_.notify_one();
    return true;
  }

  std::size_t pending() const {
    const std::lock_guard lock(mutex_);
    return pending_;
  }

 private:
  struct Job {
    std::function<void()> work;
    std::function<void()> done;
  };

  void Work() {
    std::unique_lock lock(mutex_);
    for (;;) {
      more_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      if (stopping_) return;
      Job job = std::move(queued_.front());
      queued_.pop_front();
      lock.unlock();
      job.work();
      job.work = nullptr;  // what it holds is let go here, not on the loop
      lock.lock();
      if (stopping_) {  // the loop's thread waits for this one: `done` is let go there
        finished_.push_back(std::move(job.done));
        return;
      }
      finished_.push_back(std::move(job.done));
      if (finished_.size() == 1) {
        // A full pipe wakes the loop just as well.
        while (::write(write_end_, "w", 1) < 0 && errno == EINTR) {
        }
      }
    }
  }

  void Await() {
    wake_.async_read_some(asio::buffer(bytes_), [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error && error != asio::error::try_again) return;
      self->Finish();
      if (self->wake_.is_open()) self->Await();
    });
  }

  void Finish() {
    std::vector<std::function<void()>> finished;
    {
      const std::lock_guard lock(mutex_);
      finished.swap(finished_);
      pending_ -= finished.size();
    }
    for (const std::function<void()>& done : finished) {
      if (!wake_.is_open()) return;  // stopped by one of them
      done();
    }
  }

  const std::size_t most_;
  asio::posix::stream_descriptor wake_;
  std::array<char, 64> bytes_{};
  int write_end_ = -1;
  mutable std::mutex mutex_;  // guards what follows
  std::condition_variable more_;
  std::deque<Job> queued_;
  std::vector<std::function<void()>> finished_;
  std::size_t pending_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

Worker::Worker(asio::io_context& io, std::size_t most) : impl_(std::make_shared<Impl>(io, most)) {
  impl_->Start();
}
Worker::~Worker() { impl_->Stop(); }
bool Worker::Run(std::function<void()> work, std::function<void()> done) {
  return impl_->Run(std::move(work), std::move(done));
}
std::size_t Worker::pending() const { return impl_->pending(); }

}  // namespace fennelhollow::node
