// The core's loop in virtual time, and what stands in for a protocol on both of its sides.
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

  // Runs all that is due within `time`, in order, and moves the clock there.
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
    ~VirtualTimer() override { *turn_ += 1; }
    void Start(Micros delay, std::function<void()> due) override {
      loop_.After(delay, [turn = turn_, wanted = ++*turn_, due = std::move(due)] {
        if (*turn == wanted) due();
      });
    }

   private:
    VirtualLoop& loop_;
    std::shared_ptr<int> turn_ = std::make_shared<int>(0);
  };

  Micros now_ = 1'000'000;
  int last_ = 0;
  std::map<std::pair<Micros, int>, std::function<void()>> queue_;
};

struct Note : Message {
  explicit Note(std::string words) : text(std::move(words)) {}
  std::string text;
};

// What callers were told, as words: "served hello", "refused", "failed", "failed hello", "out of time".
class Ledger {
 public:
  std::unique_ptr<ResponseSink> NewResponseSink(const std::string& id) {
    return std::make_unique<Entry>(*this, id);
  }
  const std::vector<std::string>& For(const std::string& id) { return told_[id]; }

 private:
  class Entry : public ResponseSink {
   public:
    Entry(Ledger& ledger, std::string id) : ledger_(ledger), id_(std::move(id)) {}
    void Deliver(MessagePtr answer) override { Tell("served " + static_cast<Note&>(*answer).text); }
    void Refuse(Micros) override { Tell("refused"); }
    void Fail(FailureReason why, MessagePtr answer) override {
      Tell((why == FailureReason::kDeadlineExceeded ? "out of time" : "failed") +
           (answer == nullptr ? "" : " " + static_cast<Note&>(*answer).text));
    }

   private:
    void Tell(std::string word) { ledger_.told_[id_].push_back(std::move(word)); }
    Ledger& ledger_;
    const std::string id_;
  };
  std::map<std::string, std::vector<std::string>> told_;
};

// Keeps what is sent until the test says what became of it.
class HeldEgress : public Egress {
 public:
  struct Sent {
    std::string server;
    std::string request;
    SendOptions order;
    Done done;
    bool given_up = false;
  };
  AttemptId Send(const std::string& server, const Message& request, const SendOptions& order,
                 Done done) override {
    sent.push_back({server, static_cast<const Note&>(request).text, order, std::move(done)});
    return sent.size();
  }
  void CancelAttempt(AttemptId attempt) override { sent[attempt - 1].given_up = true; }
  void Resolve(std::size_t i, Result result, const std::string& text = "") {
    std::exchange(sent[i].done, nullptr)({result, text.empty() ? nullptr : std::make_unique<Note>(text)});
  }
  std::vector<Sent> sent;
};

}  // namespace merlinrun::core::testing

#endif  // MERLINRUN_TESTS_CORE_VIRTUAL_LOOP_HPP_
