// Runs a Balancer per sidecar from protocol lines, and collects the reply to each batch.
#ifndef MERLINRUN_DRILL_HOST_HPP_
#define MERLINRUN_DRILL_HOST_HPP_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "wire.hpp"

namespace merlinrun::drill {

class Host {
 public:
  Host();
  ~Host();
  // Processes one line, without its newline. Returns true if the line ended a batch and reply() is complete.
  // Throws WireError with the line number and the verb if the line is malformed.
  bool ProcessLine(std::string_view line);
  // The reply to the last batch; valid until the next call of ProcessLine.
  const std::string& reply() const { return reply_; }
  bool in_batch() const { return in_batch_; }

 private:
  class Instance;
  static constexpr std::size_t kTables = 16;

  struct Row {  // a server entry as received; each instance maps zone and machine type to indices
    ServerInfo info;
    std::string zone;
    std::string machine;
  };

  void Dispatch(std::string_view verb, Fields& fields);
  void AddRow(Fields& fields);
  void Provision(Fields& fields);
  void Discovery(Fields& fields);
  Instance& Find(Fields& fields);
  static std::int64_t InstanceNumber(Fields& fields);

  std::string reply_;
  std::uint64_t line_number_ = 0;
  Micros now_ = 0;
  bool had_batch_ = false;
  bool in_batch_ = false;
  std::array<std::vector<Row>, kTables> tables_;
  std::size_t table_ = 0;
  std::int64_t rows_missing_ = 0;
  std::unordered_map<std::int64_t, std::unique_ptr<Instance>> instances_;  // lookup only, never iterated
};

}  // namespace merlinrun::drill

#endif  // MERLINRUN_DRILL_HOST_HPP_
