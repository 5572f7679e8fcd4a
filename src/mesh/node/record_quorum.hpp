// What the cores remember of the servers beside this sidecar, by their answers to its reports. A state that a
// majority of the cores has on disk outlives a restart of all processes and the loss of a minority's disks;
// any other majority shares a core with that one, and so learns of it. No I/O; not thread-safe.
#ifndef FENNELHOLLOW_MESH_NODE_RECORD_QUORUM_HPP_
#define FENNELHOLLOW_MESH_NODE_RECORD_QUORUM_HPP_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mesh/push/messages.hpp"

namespace fennelhollow::node {

class RecordQuorum {
 public:
  // `core`: internal address of the core that answered.
  void OnRecords(const std::string& core, const push::ServerRecords& records);
  // Drops what is known of servers other than these ids, which bounds the memory.
  void Retain(const std::vector<std::string>& ids);
  // Whether a majority of `cores` has on disk that the server is in this state, kDraining or kGone, or
  // beyond.
  bool IsRecorded(const std::string& id, registry::State state, const std::vector<std::string>& cores) const;
  // Whether a majority of `cores` vouches that it remembers nothing of the server.
  bool IsUnknown(const std::string& id, const std::vector<std::string>& cores) const;

 private:
  struct Answer {
    push::ServerRecord record;
    bool complete = false;
  };
  using AnswersByCore = std::map<std::string, Answer>;
  bool HasMajority(const std::string& id, const std::vector<std::string>& cores,
                   const std::function<bool(const Answer&)>& condition) const;
  std::map<std::string, AnswersByCore> answers_;  // by the server's id
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_RECORD_QUORUM_HPP_
