#include "mesh/node/record_quorum.hpp"

#include <algorithm>
#include <cstddef>

namespace fennelhollow::node {

void RecordQuorum::OnRecords(const std::string& core, const push::ServerRecords& records) {
  for (const push::ServerRecord& record : records.servers)
    answers_[record.id][core] = {record, records.complete};
}

void RecordQuorum::Retain(const std::vector<std::string>& ids) {
  std::erase_if(answers_, [&](const auto& entry) {
    return std::find(ids.begin(), ids.end(), entry.first) == ids.end();
  });
}

bool RecordQuorum::HasMajority(const std::string& id, const std::vector<std::string>& cores,
                               const std::function<bool(const Answer&)>& condition) const {
  const auto answers = answers_.find(id);
  if (answers == answers_.end()) return false;
  const auto agreeing = std::count_if(cores.begin(), cores.end(), [&](const std::string& core) {
    const auto answer = answers->second.find(core);
    return answer != answers->second.end() && condition(answer->second);
  });
  return static_cast<std::size_t>(agreeing) > cores.size() / 2;
}

bool RecordQuorum::IsRecorded(const std::string& id, registry::State state,
                              const std::vector<std::string>& cores) const {
  return HasMajority(id, cores, [state](const Answer& answer) {
    return answer.record.on_disk && answer.record.state >= state;
  });
}

bool RecordQuorum::IsUnknown(const std::string& id, const std::vector<std::string>& cores) const {
  return HasMajority(id, cores, [](const Answer& answer) {
    return answer.complete && answer.record.state == registry::State::kReady;
  });
}

}  // namespace fennelhollow::node
