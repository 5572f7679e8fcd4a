#include "mesh/node/worker.hpp"

#include <absl/cleanup/cleanup.h>
#include <fcntl.h>
#include <glog/logging.h>
#include <pthread.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <new>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace fennelhollow::node {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;

class Worker::Impl : public std::enable_shared_from_this<Worker::Impl> {
 public:
  Impl(asio::io_context& io, const char* name, std::size_t max_pending)
      : name_(name), max_pending_(max_pending), wake_pipe_(io) {
    finished_.reserve(max_pending);  // no allocation on the worker thread can fail
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
    ::pthread_setname_np(thread_.native_handle(), name_.c_str());
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

  bool Run(std::function<void()> work, Done done) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ || pending_ >= max_pending_) return false;
      queued_.push_back({std::move(work), std::move(done)});
      ++pending_;
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
    Done done;
  };
  struct Finished {
    Done done;
    absl::Status result;
  };

  // An exception that left the thread would end the process.
  absl::Status RunGuarded(const std::function<void()>& work) const noexcept {
    try {
      work();
      return absl::OkStatus();
    } catch (const std::bad_alloc&) {
      return absl::Status(absl::StatusCode::kResourceExhausted, "");
    } catch (const std::exception& error) {
      return InternalError(error.what());
    } catch (...) {
      return absl::Status(absl::StatusCode::kInternal, "");
    }
  }

  // Without the text if there is no memory for it.
  static absl::Status InternalError(const char* text) noexcept {
    try {
      return absl::InternalError(text);
    } catch (const std::bad_alloc&) {
      return absl::Status(absl::StatusCode::kInternal, "");
    }
  }

  void RunJobs() {
    std::unique_lock lock(mutex_);
    for (;;) {
      job_available_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      if (stopping_) return;
      Job job = std::move(queued_.front());
      queued_.pop_front();
      lock.unlock();
      absl::Status result = RunGuarded(job.work);
      job.work = nullptr;  // destroys its captures here, not on the loop
      lock.lock();
      finished_.push_back({std::move(job.done), std::move(result)});
      if (stopping_) return;  // the loop's thread is joining this one and destroys `done`
      if (finished_.size() == 1) WakeLoop();
    }
  }

  // EAGAIN is harmless: a full pipe wakes the loop as well.
  void WakeLoop() const {
    while (::write(wake_write_fd_, "w", 1) < 0 && errno == EINTR) {
    }
  }

  void AwaitWakeup() {
    wake_pipe_.async_read_some(asio::buffer(wake_buffer_),
                               [self = shared_from_this()](ErrorCode error, std::size_t) {
                                 if (error && error != asio::error::try_again) return;
                                 self->AwaitWakeup();
                                 self->RunFinished();
                               });
  }

  void RunFinished() {
    {
      const std::lock_guard lock(mutex_);
      for (Finished& finished : finished_) completing_.push_back(std::move(finished));
      pending_ -= finished_.size();
      finished_.clear();
    }
    // After one that throws, the others are completed in a later turn.
    const absl::Cleanup complete_rest = [this] {
      if (!completing_.empty()) WakeLoop();
    };
    while (!completing_.empty() && wake_pipe_.is_open()) {  // one of them may stop the worker
      const Finished next = std::move(completing_.front());
      completing_.pop_front();
      if (!next.result.ok()) LOG(ERROR) << "a job of worker " << name_ << " failed: " << next.result;
      next.done(next.result);
    }
  }

  const std::string name_;
  const std::size_t max_pending_;
  asio::posix::stream_descriptor wake_pipe_;
  std::array<char, 64> wake_buffer_{};
  int wake_write_fd_ = -1;
  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable job_available_;
  std::deque<Job> queued_;
  std::vector<Finished> finished_;
  std::size_t pending_ = 0;
  bool stopping_ = false;
  std::thread thread_;
  std::deque<Finished> completing_;  // used on the loop only
};

Worker::Worker(asio::io_context& io, const char* name, std::size_t max_pending)
    : impl_(std::make_shared<Impl>(io, name, max_pending)) {
  try {
    impl_->Start();
  } catch (...) {
    impl_->Stop();  // the pending read of the pipe would keep it, and its descriptors
    throw;
  }
}
Worker::~Worker() { impl_->Stop(); }
bool Worker::Run(std::function<void()> work, Done done) {
  return impl_->Run(std::move(work), std::move(done));
}
std::size_t Worker::pending() const { return impl_->pending(); }

}  // namespace fennelhollow::node
