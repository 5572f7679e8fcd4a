// A Loop with virtual time, and fakes for the protocol: messages, response sinks and an Egress.
#ifndef MERLINRUN_TESTS_CORE_VIRTUAL_LOOP_HPP_
#define MERLINRUN_TESTS_CORE_VIRTUAL_LOOP_HPP_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/request_manager.hpp"

namespace merlinrun::core::testing {

class VirtualLoop : public Loop {
 public:
  Micros Now() const override { return now_; }
  void Post(std::function<void()> next) override { After(0, std::move(next)); }
  void After(Micros delay, std::function<void()> due) override {
    queue_.emplace(std::pair(now_ + std::max<Micros>(delay, 0), ++last_), std::move(due));
  }
  std::unique_ptr<Timer> NewTimer() override { return std::make_unique<VirtualTimer>(*this); }

  // Runs everything due within `time`, in order, and advances the clock by it.
  void Run(Micros time) {
    const Micros end = now_ + time;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto next = queue_.extract(queue_.begin());
      now_ = next.key().first;
      next.mapped()();
    }
    now_ = end;
  }

 private:
  class VirtualTimer : public Timer {
   public:
    explicit VirtualTimer(VirtualLoop& loop) : loop_(loop) {}
    ~VirtualTimer() override { *generation_ += 1; }
    void Start(Micros delay, std::function<void()> due) override {
      loop_.After(delay, [generation = generation_, own_generation = ++*generation_, due = std::move(due)] {
        if (*generation == own_generation) due();
      });
    }

   private:
    VirtualLoop& loop_;
    std::shared_ptr<int> generation_ = std::make_shared<int>(0);
  };

  Micros now_ = 1'000'000;
  int last_ = 0;
  std::map<std::pair<Micros, int>, std::function<void()>> queue_;
};

struct TextMessage : Message {
  explicit TextMessage(std::string content) : text(std::move(content)) {}
  std::string text;
};

// Records the responses of each request: "served hello", "refused", "failed", "failed hello", "out of time".
class ResponseLog {
 public:
  std::unique_ptr<ResponseSink> NewResponseSink(const std::string& id) {
    return std::make_unique<Entry>(*this, id);
  }
  const std::vector<std::string>& For(const std::string& id) { return entries_[id]; }

 private:
  class Entry : public ResponseSink {
   public:
    Entry(ResponseLog& responses, std::string id) : log_(responses), id_(std::move(id)) {}
    void Deliver(MessagePtr response) override {
      Append("served " + static_cast<TextMessage&>(*response).text);
    }
    void Refuse(Micros) override { Append("refused"); }
    void Fail(FailureReason reason, MessagePtr response) override {
      Append((reason == FailureReason::kDeadlineExceeded ? "out of time" : "failed") +
             (response == nullptr ? "" : " " + static_cast<TextMessage&>(*response).text));
    }

   private:
    void Append(std::string entry) { log_.entries_[id_].push_back(std::move(entry)); }
    ResponseLog& log_;
    const std::string id_;
  };
  std::map<std::string, std::vector<std::string>> entries_;
};

// Records attempts until the test resolves them.
class FakeEgress : public Egress {
 public:
  struct Sent {
    std::string server;
    std::string request;
    SendOptions options;
    Done done;
    bool cancelled = false;
  };
  AttemptId Send(const std::string& server, const Message& request, const SendOptions& options,
                 Done done) override {
    sent.push_back({server, static_cast<const TextMessage&>(request).text, options, std::move(done)});
    return sent.size();
  }
  void CancelAttempt(AttemptId attempt) override { sent[attempt - 1].cancelled = true; }
  void Resolve(std::size_t i, Result result, const std::string& text = "") {
    std::exchange(sent[i].done,
                  nullptr)({result, text.empty() ? nullptr : std::make_unique<TextMessage>(text)});
  }
  std::vector<Sent> sent;
};

}  // namespace merlinrun::core::testing

#endif  // MERLINRUN_TESTS_CORE_VIRTUAL_LOOP_HPP_
