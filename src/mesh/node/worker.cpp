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
  Impl(asio::io_context& io, std::size_t max_pending) : max_pending_(max_pending), wake_pipe_(io) {
    std::array<int, 2> pipe_fds{};
    if (::pipe2(pipe_fds.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
      throw boost::system::system_error(ErrorCode(errno, boost::system::system_category()), "pipe2");
    }
    wake_pipe_.assign(pipe_fds[0]);
    wake_write_fd_ = pipe_fds[1];
  }
  ~Impl() { ::close(wake_write_fd_); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start() {
    AwaitWakeup();
    thread_ = std::thread([this] { RunJobs(); });
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      queued_.clear();
    }
    job_available_.notify_one();
    if (thread_.joinable()) thread_.join();
    ErrorCode ignored;
    wake_pipe_.close(ignored);
  }

  bool Run(std::function<void()> work, std::function<void()> done) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ || pending_ >= max_pending_) return false;
      ++pending_;
      queued_.push_back({std::move(work), std::move(done)});
    }
    job_available_.notify_one();
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

  void RunJobs() {
    std::unique_lock lock(mutex_);
    for (;;) {
      job_available_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      if (stopping_) return;
      Job job = std::move(queued_.front());
      queued_.pop_front();
      lock.unlock();
      job.work();
      job.work = nullptr;  // destroys its captures here, not on the loop
      lock.lock();
      if (stopping_) {  // the loop's thread is joining this one and destroys `done`
        finished_.push_back(std::move(job.done));
        return;
      }
      finished_.push_back(std::move(job.done));
      if (finished_.size() == 1) {
        // EAGAIN is harmless: a full pipe wakes the loop as well.
        while (::write(wake_write_fd_, "w", 1) < 0 && errno == EINTR) {
        }
      }
    }
  }

  void AwaitWakeup() {
    wake_pipe_.async_read_some(asio::buffer(wake_buffer_),
                               [self = shared_from_this()](ErrorCode error, std::size_t) {
                                 if (error && error != asio::error::try_again) return;
                                 self->RunFinished();
                                 if (self->wake_pipe_.is_open()) self->AwaitWakeup();
                               });
  }

  void RunFinished() {
    std::vector<std::function<void()>> finished;
    {
      const std::lock_guard lock(mutex_);
      finished.swap(finished_);
      pending_ -= finished.size();
    }
    for (const std::function<void()>& done : finished) {
      if (!wake_pipe_.is_open()) return;  // one of them stopped the worker
      done();
    }
  }

  const std::size_t max_pending_;
  asio::posix::stream_descriptor wake_pipe_;
  std::array<char, 64> wake_buffer_{};
  int wake_write_fd_ = -1;
  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable job_available_;
  std::deque<Job> queued_;
  std::vector<std::function<void()>> finished_;
  std::size_t pending_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

Worker::Worker(asio::io_context& io, std::size_t max_pending)
    : impl_(std::make_shared<Impl>(io, max_pending)) {
  impl_->Start();
}
Worker::~Worker() { impl_->Stop(); }
bool Worker::Run(std::function<void()> work, std::function<void()> done) {
  return impl_->Run(std::move(work), std::move(done));
}
std::size_t Worker::pending() const { return impl_->pending(); }

}  // namespace fennelhollow::node
