// A recording of the requests that a sidecar took: when, of which class, and what became of them. No bodies;
// ids and keys only as salted hashes, so that a recording tells repeats apart and nobody's number.
//
// The file, all numbers little-endian: a header (magic, version, length, checksum, then the recorder's name
// as a hash, its start on the wall clock, and the classes' names), then blocks (length, count of records,
// records lost before, checksum, records). A record is a few bytes: variable-length numbers, times as
// differences. A file is whole if it ends where a block ends. Checksums are CRC-32 (Boost.CRC); hashes are
// the first 64 bits of a UUID of version 5 (RFC 4122, section 4.3: SHA-1) in a name space made of the salt.
#ifndef MERLINRUN_RECORD_FORMAT_HPP_
#define MERLINRUN_RECORD_FORMAT_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::record {

enum class End : std::uint8_t { kServed = 0, kRefused = 1, kFailed = 2, kLeft = 3 };  // kLeft: its client did

struct Record {
  Micros arrived = 0;  // since the recording began
  Micros budget = 0;   // how long its client waited at most
  Micros took = 0;     // until its final answer
  std::uint32_t its_class = 0;
  std::uint32_t attempts = 0;
  End end = End::kServed;
  std::uint8_t front = 0;  // the protocol that it came by, 0 to 31
  bool repeated = false;   // the client said that it is a repeat
  std::uint64_t id = 0;    // hashed
  std::uint64_t key = 0;   // hashed; 0 = it had none
};

struct Header {
  std::uint64_t sidecar = 0;         // its name, hashed
  std::uint64_t began_us = 0;        // Unix time in microseconds
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

// Puts records together to a block.
class BlockWriter {
 public:
  void Add(const Record& record);
  std::size_t size() const { return records_.size(); }  // bytes of records so far
  std::uint32_t count() const { return count_; }
  // The block, which says that so many records were lost before it; the next one is empty.
  std::string Take(std::uint64_t lost);

 private:
  std::string records_;
  std::uint32_t count_ = 0;
  Micros last_ = 0;
};

struct Recording {
  Header header;
  std::vector<Record> records;  // in the order in which they ended
  std::uint64_t lost = 0;
};

// Reads a file's bytes. On failure one plain line without the file's name: that it is no recording, of
// another version, damaged or cut off, and where.
std::variant<Recording, std::string> ParseRecording(std::string_view bytes);

}  // namespace merlinrun::record

#endif  // MERLINRUN_RECORD_FORMAT_HPP_
