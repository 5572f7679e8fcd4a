// The file format of request recordings: when each request of a sidecar arrived, its class, and how it ended.
// Contains no bodies; ids and keys are only stored as salted hashes, so that repeats can be recognized
// without revealing whose requests they are.
//
// All numbers are little-endian. The file is a header (magic, version, length, checksum, then the hashed name
// of the sidecar, the start time and the class names) followed by blocks (length, number of records, number
// of records lost before the block, checksum, records). Records use variable-length integers, and times
// relative to the record before. A file that ends at the end of a block is complete. Checksums are CRC-32
// (Boost.CRC); hashes are the first 64 bits of a version 5 UUID (RFC 4122, section 4.3) whose name space is
// derived from the salt.
#ifndef MERLINRUN_RECORD_FORMAT_HPP_
#define MERLINRUN_RECORD_FORMAT_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::record {

enum class Disposition : std::uint8_t { kServed = 0, kRefused = 1, kFailed = 2, kClientGone = 3 };

struct Record {
  Micros arrival_time = 0;  // since the start of the recording
  Micros budget = 0;        // the longest that the client waits
  Micros duration = 0;      // until the final response
  std::uint32_t request_class = 0;
  std::uint32_t attempts = 0;
  Disposition disposition = Disposition::kServed;
  std::uint8_t protocol = 0;  // 0 to 31
  bool is_retry = false;      // as the client states it
  std::uint64_t id = 0;       // hashed
  std::uint64_t key = 0;      // hashed; 0 = none
};

struct Header {
  std::uint64_t sidecar_hash = 0;    // of its name
  std::uint64_t start_time_us = 0;   // Unix time in microseconds
  std::vector<std::string> classes;  // at most 255, of at most 255 bytes
};

class Hasher {
 public:
  explicit Hasher(std::string_view salt);
  // Never 0.
  std::uint64_t operator()(std::string_view text) const;

 private:
  std::uint8_t space_[16];
};

std::string EncodeHeader(const Header& header);

// Encodes records into a block.
class BlockWriter {
 public:
  void Add(const Record& record);
  std::size_t size() const { return records_.size(); }  // bytes of encoded records
  std::uint32_t count() const { return count_; }
  // Returns the block and starts an empty one. `lost_records`: records dropped before this block.
  std::string Take(std::uint64_t lost_records);

 private:
  std::string records_;
  std::uint32_t count_ = 0;
  Micros last_ = 0;
};

struct Recording {
  Header header;
  std::vector<Record> records;  // in order of completion
  std::uint64_t lost_records = 0;
};

// Decodes a recording file. On failure returns a one-line message without the file name: not a recording,
// unsupported version, damaged or truncated, and at which offset.
std::variant<Recording, std::string> ParseRecording(std::string_view bytes);

}  // namespace merlinrun::record

#endif  // MERLINRUN_RECORD_FORMAT_HPP_
