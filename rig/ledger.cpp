#include "rig/ledger.hpp"

#include <algorithm>

namespace merlinrun::rig {

Micros Ledger::Row::Quantile(double q) const {
  if (times.empty()) return 0;
  std::vector<Micros> sorted = times;
  const auto at = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
  return sorted[at];
}

void Ledger::Break(int rule, const std::string& what) {
  ++broken_count_;
  if (broken_.size() < kMostLines) broken_.push_back("rule " + std::to_string(rule) + ": " + what);
}

void Ledger::Asked(const std::string& id, const WorkClass& its_class, Micros now) {
  Entry& entry = entries_[id];
  entry.its_class = its_class;
  entry.asked = now;
}

void Ledger::AskedAgain(const std::string& id) {
  Entry& entry = entries_[id];
  ++entry.owed;
  entry.left = false;
}

void Ledger::ClientDied(const std::string& id) {
  Entry& entry = entries_[id];
  entry.owed = 0;
  entry.left = true;
}

void Ledger::Answered(const std::string& id, Outcome outcome, const std::string& token, Micros now) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return Break(1, "an answer to a request that nobody asked: " + id);
  Entry& entry = it->second;
  if (--entry.owed < 0) Break(1, id + " was answered once too often");
  if (now > entry.asked + entry.its_class.deadline + kLateGrace)
    Break(1, id + " (" + entry.its_class.name + ") was answered " +
                 std::to_string((now - entry.asked - entry.its_class.deadline) / 1000) +
                 " ms after its deadline");
  const bool unsafe = entry.its_class.repeat != RetrySafety::kSafe;
  if (!entry.outcomes.empty() && entry.outcomes.front() != outcome && unsafe)
    Break(1, id + " had two outcomes");
  entry.outcomes.push_back(outcome);
  if (outcome == Outcome::kServed) {
    if (std::find(entry.tokens.begin(), entry.tokens.end(), token) == entry.tokens.end())
      Break(1, id + " was served with an answer that no server made for it");
    if (!entry.served.empty() && entry.served != token && unsafe) Break(1, id + " was served two answers");
    entry.served = token;
    if (entry.took == 0) entry.took = now - entry.asked;
  }
  if (outcome == Outcome::kRefused && unsafe && !entry.tokens.empty())
    Break(2, id + " was refused after it had run");
}

void Ledger::Began(const std::string& id, const std::string& server, const std::string& token, Micros) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return Break(2, server + " ran what nobody asked: " + id);
  Entry& entry = it->second;
  if (entry.running++ > 0) Break(2, id + " was out twice at once, the second time at " + server);
  entry.tokens.push_back(token);
  if (entry.tokens.size() > 1 && entry.its_class.repeat != RetrySafety::kSafe)
    Break(2, id + " (" + entry.its_class.name + ") ran twice, the second time at " + server);
}

void Ledger::Ended(const std::string& id) {
  if (const auto it = entries_.find(id); it != entries_.end()) --it->second.running;
}

void Ledger::Arrived(const std::string& server, Micros now) {
  const auto it = told_.find(server);
  if (it != told_.end() && now > it->second + kDrainGrace)
    Break(3, server + " was sent something " + std::to_string((now - it->second) / 1000) +
                 " ms after it was told to drain");
}

void Ledger::Told(const std::string& server, Micros now) { told_.emplace(server, now); }

void Ledger::FellOver(const std::string& server) { Break(4, server + " was pushed over while it was cold"); }

std::vector<std::string> Ledger::Owed(Micros now) const {
  std::vector<std::string> out;
  for (const auto& [id, entry] : entries_)
    if (entry.owed > 0 && now > entry.asked + entry.its_class.deadline + kLateGrace) out.push_back(id);
  return out;
}

std::map<std::string, Ledger::Row> Ledger::Rows() const {
  std::map<std::string, Row> rows;
  for (const auto& [id, entry] : entries_) {
    Row& row = rows[entry.its_class.name];
    ++row.asked;
    row.ran += entry.tokens.size();
    if (entry.outcomes.empty()) {
      row.left += entry.left ? 1 : 0;
      continue;
    }
    switch (entry.outcomes.back()) {
      case Outcome::kServed:
        ++row.served;
        row.times.push_back(entry.took);
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
