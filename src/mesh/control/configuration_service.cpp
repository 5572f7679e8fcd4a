#include "mesh/control/configuration_service.hpp"

#include <algorithm>
#include <utility>

namespace fennelhollow::control {

using configuration::ChangeResult;
using consensus::Outcome;

void ConfigurationService::Submit(Micros now, Micros deadline, bool modify,
                                  std::shared_ptr<const std::string> body, Done done) {
  if (!host_.IsLeader()) return done(std::nullopt);
  if (changes_.size() + awaiting_sidecars_.size() >= limits_.max_calls ||
      queued_bytes_ + body->size() > limits_.max_bytes) {
    ++counters_.overloaded;
    return done(UnavailableResponse("too many changes at once"));
  }
  queued_bytes_ += body->size();
  Change& change = changes_.emplace_back();
  change.modify = modify;
  change.body = std::move(body);
  change.deadline = deadline;
  change.done = std::move(done);
  Advance(now);
}

void ConfigurationService::Read(Micros now, Micros deadline, Done done) {
  if (!host_.IsLeader()) return done(std::nullopt);
  if (queued_reads_.size() + active_reads_.size() >= limits_.max_calls) {
    ++counters_.overloaded;
    return done(UnavailableResponse("too many reads at once"));
  }
  queued_reads_.push_back({deadline, std::move(done)});
  StartReadRound(now);
}

void ConfigurationService::Advance(Micros now) {
  while (!changes_.empty() && changes_.front().stage == Stage::kQueued) {
    if (!host_.IsLeader()) return HandBackUnproposed();
    Change& first = changes_.front();
    if (first.result && first.base_index == host_.CommittedIndex()) return ExecuteResult(now);
    first.result.reset();
    first.base_index = host_.CommittedIndex();
    first.request_id = ++last_request_id_;
    if (!host_.EvaluateChange(first.request_id, first.modify, first.body)) return;  // at the next tick
    first.stage = Stage::kEvaluating;
  }
}

void ConfigurationService::ExecuteResult(Micros now) {
  Change& first = changes_.front();
  first.request_id = ++last_request_id_;
  first.stage_deadline = now + limits_.outcome_timeout;
  if (first.result->kind == ChangeResult::Kind::kAccepted) {
    first.stage = Stage::kProposing;
    host_.Propose(first.request_id, first.base_index, first.result->next_state);
  } else {
    first.stage = Stage::kConfirming;
    host_.ConfirmLeadership(first.request_id);
  }
}

void ConfigurationService::OnChangeResult(Micros now, std::uint64_t request_id, ChangeResult result) {
  if (changes_.empty()) return;
  Change& first = changes_.front();
  if (first.stage != Stage::kEvaluating || first.request_id != request_id) return;  // it has timed out
  first.result = std::move(result);
  first.stage = Stage::kQueued;
  Advance(now);
}

void ConfigurationService::OnOutcome(Micros now, std::uint64_t request_id, Outcome outcome) {
  if (!active_reads_.empty() && request_id == read_request_id_) {
    OnReadConfirmed(outcome);
    if (outcome == Outcome::kSuccess) StartReadRound(now);  // else at the next tick
    return;
  }
  if (changes_.empty() || changes_.front().request_id != request_id) return;
  if (changes_.front().stage == Stage::kProposing) return OnProposed(now, outcome);
  if (changes_.front().stage == Stage::kConfirming) return OnConfirmed(now, outcome);
}

void ConfigurationService::OnProposed(Micros now, Outcome outcome) {
  Change& first = changes_.front();
  switch (outcome) {
    case Outcome::kSuccess:
      ++counters_.committed;
      AwaitSidecars(now, first.base_index + 1);
      return Advance(now);
    case Outcome::kIndeterminate:
      ++counters_.unknown_outcome;
      RespondToFirst(UnavailableResponse("leadership was lost on the way; repeat the call unchanged"));
      return Advance(now);
    case Outcome::kNotLeader:
      first.stage = Stage::kQueued;
      // Another entry, such as a membership change, is being replicated. OnTick retries until it is
      // committed.
      if (!host_.IsLeader() || first.base_index != host_.CommittedIndex()) Advance(now);
      return;
  }
}

void ConfigurationService::OnConfirmed(Micros now, Outcome outcome) {
  Change& first = changes_.front();
  if (outcome != Outcome::kSuccess || first.base_index != host_.CommittedIndex()) {
    // The state has changed since the evaluation, or leadership was not confirmed. Nothing was started, so
    // the change is evaluated again, here or by the next leader.
    first.stage = Stage::kQueued;
    if (!host_.IsLeader() || first.base_index != host_.CommittedIndex()) Advance(now);
    return;
  }
  switch (first.result->kind) {
    case ChangeResult::Kind::kAlreadyApplied:
      ++counters_.duplicates;
      AwaitSidecars(now, first.base_index);
      break;
    case ChangeResult::Kind::kConflict:
      ++counters_.conflicts;
      RespondToFirst(ErrorResponse(
          412, first.result->error.empty() ? "another version is in place" : first.result->error));
      break;
    case ChangeResult::Kind::kUnknown:
      ++counters_.unknown_outcome;
      RespondToFirst(UnavailableResponse(first.result->error));
      break;
    case ChangeResult::Kind::kInvalid:
    case ChangeResult::Kind::kAccepted:  // not reached: accepted changes are proposed
      ++counters_.invalid;
      RespondToFirst(ErrorResponse(400, first.result->error));
      break;
  }
  Advance(now);
}

void ConfigurationService::AwaitSidecars(Micros now, std::uint64_t index) {
  Change& first = changes_.front();
  if (first.done && !host_.IsAppliedBySidecars(index)) {
    awaiting_sidecars_.push_back(
        {index, std::min(now + limits_.ack_timeout, first.deadline), std::move(first.done)});
    first.done = nullptr;
  }
  RespondToFirst(Response{});
}

void ConfigurationService::RespondToFirst(std::optional<Response> response) {
  const Done done = std::move(changes_.front().done);
  queued_bytes_ -= changes_.front().body->size();
  changes_.pop_front();
  if (done) done(std::move(response));
}

void ConfigurationService::HandBackUnproposed() {
  // A proposed change may still be committed: OnOutcome completes it.
  std::deque<Change> failed;
  if (!changes_.empty() && changes_.front().stage == Stage::kProposing) {
    failed.assign(std::make_move_iterator(changes_.begin() + 1), std::make_move_iterator(changes_.end()));
    changes_.erase(changes_.begin() + 1, changes_.end());
  } else {
    failed = std::exchange(changes_, {});
  }
  std::vector<Reader> readers = std::exchange(queued_reads_, {});
  std::move(active_reads_.begin(), active_reads_.end(), std::back_inserter(readers));
  active_reads_.clear();
  for (const Change& change : failed) {
    queued_bytes_ -= change.body->size();
    if (change.done) change.done(std::nullopt);
  }
  for (const Reader& reader : readers) reader.done(std::nullopt);
}

void ConfigurationService::StartReadRound(Micros now) {
  if (!active_reads_.empty() || queued_reads_.empty()) return;
  active_reads_.swap(queued_reads_);
  read_request_id_ = ++last_request_id_;
  read_round_deadline_ = now + limits_.outcome_timeout;
  host_.ConfirmLeadership(read_request_id_);
}

void ConfigurationService::OnReadConfirmed(Outcome outcome) {
  std::vector<Reader> readers = std::exchange(active_reads_, {});
  if (outcome != Outcome::kSuccess) {
    if (host_.IsLeader()) {  // retried by OnTick, each until its deadline
      std::move(readers.begin(), readers.end(), std::back_inserter(queued_reads_));
      return;
    }
    for (const Reader& reader : readers) reader.done(std::nullopt);
    return;
  }
  counters_.reads += readers.size();
  Response response;
  response.body = host_.ConfigurationText();
  if (response.body.empty()) response = ErrorResponse(404, "there is no configuration yet");
  for (const Reader& reader : readers) reader.done(response);
}

void ConfigurationService::OnLeadership(Micros now) {
  if (!host_.IsLeader()) return HandBackUnproposed();
  Advance(now);
}

void ConfigurationService::OnSidecarAck(Micros now) {
  for (std::size_t i = 0; i < awaiting_sidecars_.size();) {
    const bool applied = host_.IsAppliedBySidecars(awaiting_sidecars_[i].index);
    if (!applied && now < awaiting_sidecars_[i].ack_deadline) {
      ++i;
      continue;
    }
    if (!applied) ++counters_.missing_acks;
    const Done done = std::move(awaiting_sidecars_[i].done);
    awaiting_sidecars_.erase(awaiting_sidecars_.begin() + static_cast<std::ptrdiff_t>(i));
    done(Response{});
  }
}

void ConfigurationService::OnTick(Micros now) {
  OnSidecarAck(now);
  for (std::size_t i = 0; i < changes_.size();) {
    Change& change = changes_[i];
    const bool proposed = change.stage == Stage::kProposing;
    const bool timed_out = (proposed || change.stage == Stage::kConfirming) && now >= change.stage_deadline;
    if (now < change.deadline && !timed_out) {
      ++i;
      continue;
    }
    const Done done = std::exchange(change.done, nullptr);
    if (done || timed_out) ++counters_.unknown_outcome;
    if (proposed && !timed_out) {  // stays until OnOutcome
      ++i;
    } else {
      // A change that was not proposed is removed with its response, so that it is never committed after a
      // 503. A proposed change whose outcome_timeout has passed is given up, and may still be committed.
      queued_bytes_ -= change.body->size();
      changes_.erase(changes_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (done) done(UnavailableResponse("not settled in time; repeat the call unchanged"));
  }
  for (std::vector<Reader>* readers : {&queued_reads_, &active_reads_}) {
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
  if (!active_reads_.empty() && now >= read_round_deadline_) {  // retried with a new request id
    std::move(active_reads_.begin(), active_reads_.end(), std::back_inserter(queued_reads_));
    active_reads_.clear();
  }
  if (!host_.IsLeader()) return HandBackUnproposed();
  Advance(now);
  StartReadRound(now);
}

}  // namespace fennelhollow::control
