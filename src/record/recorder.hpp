// Writes a recording while requests are served, without ever making one wait: records are put into memory on
// the loop's thread, and a thread of its own writes whole blocks to the file. What can't be written in time,
// or at all, is lost and counted. Off by default; on it holds some 1.2 MB at most.
#ifndef MERLINRUN_RECORD_RECORDER_HPP_
#define MERLINRUN_RECORD_RECORDER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "record/format.hpp"

namespace merlinrun::record {

// The operator's file that switches recording on (TOML; deploy/record.example.toml).
struct RecordingSettings {
  std::string file;
  std::uint64_t most_bytes = 0;
  std::string salt;
};
// On failure one line: "FILE:LINE:COLUMN: what is wrong".
std::variant<RecordingSettings, std::string> ParseRecordingSettings(std::string_view text,
                                                                    const std::string& file);

// Where blocks go. Called from the writer's thread alone; may take as long as it likes.
class Disk {
 public:
  virtual ~Disk() = default;
  // Appends all of it or nothing; false if it can't.
  virtual bool Append(std::string_view bytes) = 0;
};

// A file that is begun anew and never grows beyond `most` bytes. Throws std::runtime_error, with one plain
// line, if it can't be opened. What a failed write left is cut off again, so that the file stays whole.
std::unique_ptr<Disk> OpenFile(const std::string& path, std::uint64_t most);

class Recorder {
 public:
  // Writes the header at once, before the thread begins. `now`: the loop's time, from which the records'
  // count. Throws std::runtime_error if it can't be written.
  Recorder(std::unique_ptr<Disk> disk, const Header& header, std::string_view salt, Micros now);
  // Waits a second at most for what is still to be written.
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  // `record.arrival_time` is the loop's time; id and key come as they are and are hashed here. Never waits.
  void Add(Micros now, Record record, std::string_view id, std::string_view key);

  std::uint64_t recorded() const;  // records that were written
  std::uint64_t lost() const;      // that were not, and never will be

 private:
  struct Shared;
  static void Write(const std::shared_ptr<Shared>& shared);
  void HandOver();

  const Hasher hash_;
  const Micros began_;
  BlockWriter block_;
  Micros block_began_ = 0;
  std::shared_ptr<Shared> shared_;
};

}  // namespace merlinrun::record

#endif  // MERLINRUN_RECORD_RECORDER_HPP_
