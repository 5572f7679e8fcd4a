#include "rig/invariant_checker.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::rig {

Micros InvariantChecker::ClassSummary::Quantile(double q) const {
  if (latencies.empty()) return 0;
  std::vector<Micros> sorted = latencies;
  const auto at = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
  return sorted[at];
}

void InvariantChecker::ReportViolation(int rule, const std::string& what) {
  ++violation_count_;
  if (violations_.size() < kMaxViolationLines)
    violations_.push_back("invariant " + std::to_string(rule) + ": " + what);
}

void InvariantChecker::OnRequest(const std::string& id, const TrafficClass& traffic_class, Micros now) {
  Entry& entry = entries_[id];
  entry.traffic_class = traffic_class;
  entry.sent_at = now;
}

void InvariantChecker::OnRetransmit(const std::string& id) {
  Entry& entry = entries_[id];
  ++entry.responses_due;
  entry.abandoned = false;
}

void InvariantChecker::OnClientCrash(const std::string& id) {
  Entry& entry = entries_[id];
  entry.responses_due = 0;
  entry.abandoned = true;
}

void InvariantChecker::OnResponse(const std::string& id, Outcome outcome, const std::string& token,
                                  Micros now) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return ReportViolation(1, "response to an unknown request: " + id);
  Entry& entry = it->second;
  if (--entry.responses_due < 0) ReportViolation(1, id + " was answered too often");
  if (now > entry.sent_at + entry.traffic_class.deadline + kDeadlineGrace)
    ReportViolation(1, id + " (" + entry.traffic_class.name + ") was answered " +
                           std::to_string((now - entry.sent_at - entry.traffic_class.deadline) / 1000) +
                           " ms after its deadline");
  const bool unsafe = entry.traffic_class.retry_safety != RetrySafety::kSafe;
  if (!entry.outcomes.empty() && entry.outcomes.front() != outcome && unsafe)
    ReportViolation(1, id + " had two different outcomes");
  entry.outcomes.push_back(outcome);
  if (outcome == Outcome::kServed) {
    if (std::find(entry.tokens.begin(), entry.tokens.end(), token) == entry.tokens.end())
      ReportViolation(1, id + " was served with a response that no server sent for it");
    if (!entry.served_token.empty() && entry.served_token != token && unsafe)
      ReportViolation(1, id + " was served two different responses");
    entry.served_token = token;
    if (entry.latency == 0) entry.latency = now - entry.sent_at;
  }
  if (outcome == Outcome::kRefused && unsafe && !entry.tokens.empty())
    ReportViolation(2, id + " was refused after it was executed");
}

// A server does not notice a reset while it executes a request, or before it reads one. A safe request may be
// retried after the reset, so only connections that were not reset count for it.
bool InvariantChecker::ExecutedTwiceAtOnce(const Entry& entry) {
  if (entry.traffic_class.retry_safety != RetrySafety::kSafe) return entry.running.size() > 1;
  const auto connected = [](const auto& execution) { return !execution.second(); };
  return std::count_if(entry.running.begin(), entry.running.end(), connected) > 1;
}

void InvariantChecker::OnExecutionStart(const std::string& id, const std::string& server,
                                        const std::string& token, ConnectionReset connection_reset) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return ReportViolation(2, server + " executed an unknown request: " + id);
  Entry& entry = it->second;
  entry.running.emplace(token, std::move(connection_reset));
  if (ExecutedTwiceAtOnce(entry))
    ReportViolation(2, id + " was executed twice at once, the second time by " + server);
  entry.tokens.push_back(token);
  if (entry.tokens.size() > 1 && entry.traffic_class.retry_safety != RetrySafety::kSafe)
    ReportViolation(2, id + " (" + entry.traffic_class.name + ") ran twice, the second time at " + server);
}

void InvariantChecker::OnExecutionEnd(const std::string& id, const std::string& token) {
  if (const auto it = entries_.find(id); it != entries_.end()) it->second.running.erase(token);
}

void InvariantChecker::OnArrival(const std::string& server, Micros now) {
  const auto it = drain_notified_.find(server);
  if (it != drain_notified_.end() && now > it->second + kDrainGrace)
    ReportViolation(3, server + " got a request " + std::to_string((now - it->second) / 1000) +
                           " ms after it began to drain");
}

void InvariantChecker::OnDrainNotified(const std::string& server, Micros now) {
  drain_notified_.emplace(server, now);
}

void InvariantChecker::OnOverload(const std::string& server) {
  ReportViolation(4, server + " was overloaded while cold");
}

std::vector<std::string> InvariantChecker::Overdue(Micros now) const {
  std::vector<std::string> out;
  for (const auto& [id, entry] : entries_)
    if (entry.responses_due > 0 && now > entry.sent_at + entry.traffic_class.deadline + kDeadlineGrace)
      out.push_back(id);
  return out;
}

std::map<std::string, InvariantChecker::ClassSummary> InvariantChecker::Summary() const {
  std::map<std::string, ClassSummary> rows;
  for (const auto& [id, entry] : entries_) {
    ClassSummary& row = rows[entry.traffic_class.name];
    ++row.sent;
    row.executed += entry.tokens.size();
    if (entry.outcomes.empty()) {
      row.abandoned += entry.abandoned ? 1 : 0;
      continue;
    }
    switch (entry.outcomes.back()) {
      case Outcome::kServed:
        ++row.served;
        row.latencies.push_back(entry.latency);
        break;
      case Outcome::kRefused:
        ++row.refused;
        break;
      case Outcome::kFailed:
        ++row.failed;
        break;
    }
  }
  return rows;
}

}  // namespace merlinrun::rig
