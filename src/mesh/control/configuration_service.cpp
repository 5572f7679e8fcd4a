#include "mesh/control/configuration_service.hpp"

#include <algorithm>
#include <utility>

namespace fennelhollow::control {

using configuration::ChangeResult;
using consensus::Outcome;

void ConfigurationService::Submit(Micros now, Micros deadline, bool modify,
                                  std::shared_ptr<const std::string> body, Done done) {
  if (!host_.IsLeader()) return done(std::nullopt);
  if (changes_.size() + awaiting_.size() >= limits_.calls || bytes_ + body->size() > limits_.bytes) {
    ++counters_.overloaded;
    return done(UnavailableResponse("too many changes at once"));
  }
  bytes_ += body->size();
  Change& change = changes_.emplace_back();
  change.modify = modify;
  change.body = std::move(body);
  change.deadline = deadline;
  change.done = std::move(done);
  Work(now);
}

void ConfigurationService::Read(Micros now, Micros deadline, Done done) {
  if (!host_.IsLeader()) return done(std::nullopt);
  if (reads_.size() + reading_.size() >= limits_.calls) {
    ++counters_.overloaded;
    return done(UnavailableResponse("too many reads at once"));
  }
  reads_.push_back({deadline, std::move(done)});
  StartReading(now);
}

void ConfigurationService::Work(Micros now) {
  while (!changes_.empty() && changes_.front().stage == Stage::kWaiting) {
    if (!host_.IsLeader()) return Pass();
    Change& first = changes_.front();
    if (first.verdict && first.on_top_of == host_.CommittedIndex()) return Act(now);
    first.verdict.reset();
    first.on_top_of = host_.CommittedIndex();
    first.call = ++calls_;
    if (!host_.EvaluateChange(first.call, first.modify, first.body)) return;  // at the next tick
    first.stage = Stage::kDeciding;
  }
}

void ConfigurationService::Act(Micros now) {
  Change& first = changes_.front();
  first.call = ++calls_;
  first.stage_until = now + limits_.outcome;
  if (first.verdict->kind == ChangeResult::Kind::kAccepted) {
    first.stage = Stage::kProposing;
    host_.Propose(first.call, first.on_top_of, first.verdict->next_state);
  } else {
    first.stage = Stage::kConfirming;
    host_.ConfirmLeadership(first.call);
  }
}

void ConfigurationService::OnChangeResult(Micros now, std::uint64_t call, ChangeResult verdict) {
  if (changes_.empty()) return;
  Change& first = changes_.front();
  if (first.stage != Stage::kDeciding || first.call != call) return;  // its caller has been answered
  first.verdict = std::move(verdict);
  first.stage = Stage::kWaiting;
  Work(now);
}

void ConfigurationService::OnOutcome(Micros now, std::uint64_t call, Outcome outcome) {
  if (!reading_.empty() && call == reading_call_) {
    OnRead(outcome);
    if (outcome == Outcome::kSuccess) StartReading(now);  // else at the next tick
    return;
  }
  if (changes_.empty() || changes_.front().call != call) return;
  if (changes_.front().stage == Stage::kProposing) return OnProposed(now, outcome);
  if (changes_.front().stage == Stage::kConfirming) return OnConfirmed(now, outcome);
}

void ConfigurationService::OnProposed(Micros now, Outcome outcome) {
  Change& first = changes_.front();
  switch (outcome) {
    case Outcome::kSuccess:
      ++counters_.committed;
      Await(now, first.on_top_of + 1);
      return Work(now);
    case Outcome::kUnknown:
      ++counters_.unknown_outcome;
      AnswerFirst(UnavailableResponse("leadership was lost on the way; repeat the call unchanged"));
      return Work(now);
    case Outcome::kNotLeader:
      first.stage = Stage::kWaiting;
      // Another entry is under way, a change of members say: if that has not come yet, the tick tries again.
      if (!host_.IsLeader() || first.on_top_of != host_.CommittedIndex()) Work(now);
      return;
  }
}

void ConfigurationService::OnConfirmed(Micros now, Outcome outcome) {
  Change& first = changes_.front();
  if (outcome != Outcome::kSuccess || first.on_top_of != host_.CommittedIndex()) {
    // Not what it was judged by: nothing was begun, so it is judged anew, or by another.
    first.stage = Stage::kWaiting;
    if (!host_.IsLeader() || first.on_top_of != host_.CommittedIndex()) Work(now);
    return;
  }
  switch (first.verdict->kind) {
    case ChangeResult::Kind::kAlreadyApplied:
      ++counters_.duplicates;
      Await(now, first.on_top_of);
      break;
    case ChangeResult::Kind::kConflict:
      ++counters_.conflicts;
      AnswerFirst(ErrorResponse(
          412, first.verdict->error.empty() ? "another version is in place" : first.verdict->error));
      break;
    case ChangeResult::Kind::kUnknown:
      ++counters_.unknown_outcome;
      AnswerFirst(UnavailableResponse(first.verdict->error));
      break;
    case ChangeResult::Kind::kInvalid:
    case ChangeResult::Kind::kAccepted:  // is proposed, not confirmed
      ++counters_.invalid;
      AnswerFirst(ErrorResponse(400, first.verdict->error));
      break;
  }
  Work(now);
}

void ConfigurationService::Await(Micros now, std::uint64_t number) {
  Change& first = changes_.front();
  if (first.done && !host_.IsActiveOnSidecars(number)) {
    awaiting_.push_back({number, std::min(now + limits_.acks, first.deadline), std::move(first.done)});
    first.done = nullptr;
  }
  AnswerFirst(Response{});
}

void ConfigurationService::AnswerFirst(std::optional<Response> answer) {
  const Done done = std::move(changes_.front().done);
  bytes_ -= changes_.front().body->size();
  changes_.pop_front();
  if (done) done(std::move(answer));
}

void ConfigurationService::Pass() {
  // One that is proposed may come into force: the replica says what came of it.
  std::deque<Change> passed;
  if (!changes_.empty() && changes_.front().stage == Stage::kProposing) {
    passed.assign(std::make_move_iterator(changes_.begin() + 1), std::make_move_iterator(changes_.end()));
    changes_.erase(changes_.begin() + 1, changes_.end());
  } else {
    passed = std::exchange(changes_, {});
  }
  std::vector<Reader> readers = std::exchange(reads_, {});
  std::move(reading_.begin(), reading_.end(), std::back_inserter(readers));
  reading_.clear();
  for (const Change& change : passed) {
    bytes_ -= change.body->size();
    if (change.done) change.done(std::nullopt);
  }
  for (const Reader& reader : readers) reader.done(std::nullopt);
}

void ConfigurationService::StartReading(Micros now) {
  if (!reading_.empty() || reads_.empty()) return;
  reading_.swap(reads_);
  reading_call_ = ++calls_;
  reading_until_ = now + limits_.outcome;
  host_.ConfirmLeadership(reading_call_);
}

void ConfigurationService::OnRead(Outcome outcome) {
  std::vector<Reader> readers = std::exchange(reading_, {});
  if (outcome != Outcome::kSuccess) {
    if (host_.IsLeader()) {  // at the next tick again, each until its deadline
      std::move(readers.begin(), readers.end(), std::back_inserter(reads_));
      return;
    }
    for (const Reader& reader : readers) reader.done(std::nullopt);
    return;
  }
  counters_.reads += readers.size();
  Response answer;
  answer.body = host_.ConfigurationText();
  if (answer.body.empty()) answer = ErrorResponse(404, "there is no configuration yet");
  for (const Reader& reader : readers) reader.done(answer);
}

void ConfigurationService::OnLeadership(Micros now) {
  if (!host_.IsLeader()) return Pass();
  Work(now);
}

void ConfigurationService::OnAcks(Micros now) {
  for (std::size_t i = 0; i < awaiting_.size();) {
    const bool in_force = host_.IsActiveOnSidecars(awaiting_[i].number);
    if (!in_force && now < awaiting_[i].until) {
      ++i;
      continue;
    }
    if (!in_force) ++counters_.missing_acks;
    const Done done = std::move(awaiting_[i].done);
    awaiting_.erase(awaiting_.begin() + static_cast<std::ptrdiff_t>(i));
    done(Response{});
  }
}

void ConfigurationService::OnTick(Micros now) {
  OnAcks(now);
  for (std::size_t i = 0; i < changes_.size();) {
    Change& change = changes_[i];
    const bool proposed = change.stage == Stage::kProposing;
    const bool given_up = (proposed || change.stage == Stage::kConfirming) && now >= change.stage_until;
    if (now < change.deadline && !given_up) {
      ++i;
      continue;
    }
    const Done done = std::exchange(change.done, nullptr);
    if (done || given_up) ++counters_.unknown_outcome;
    if (proposed && !given_up) {  // stays until the replica says what came of it
      ++i;
    } else {
      // What has not begun goes with its answer: nothing that was refused comes into force later.
      bytes_ -= change.body->size();
      changes_.erase(changes_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (done) done(UnavailableResponse("not settled in time; repeat the call unchanged"));
  }
  for (std::vector<Reader>* readers : {&reads_, &reading_}) {
    for (std::size_t i = 0; i < readers->size();) {
      if (now < (*readers)[i].deadline) {
        ++i;
        continue;
      }
      const Done done = std::move((*readers)[i].done);
      readers->erase(readers->begin() + static_cast<std::ptrdiff_t>(i));
      ++counters_.unknown_outcome;
      done(UnavailableResponse("no majority could be asked in time"));
    }
  }
  if (!reading_.empty() && now >= reading_until_) {  // asked again under a new number
    std::move(reading_.begin(), reading_.end(), std::back_inserter(reads_));
    reading_.clear();
  }
  if (!host_.IsLeader()) return Pass();
  Work(now);
  StartReading(now);
}

}  // namespace fennelhollow::control
