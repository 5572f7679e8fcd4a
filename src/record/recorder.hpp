// Records requests without delaying them: records are buffered on the loop's thread, and a separate thread
// writes complete blocks to the file. Records that can't be written, or not in time, are dropped and counted.
// Off by default; uses about 1.2 MB at most.
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

// The settings in the TOML file that EDGE_RECORD names (see deploy/record.example.toml).
struct RecordingSettings {
  std::string file;
  std::uint64_t max_bytes = 0;
  std::string salt;
};
// On failure returns a one-line message: "FILE:LINE:COLUMN: what is wrong".
std::variant<RecordingSettings, std::string> ParseRecordingSettings(std::string_view text,
                                                                    const std::string& file);

// The destination of the blocks. Only called from the writer's thread, and may block.
class RecordingFile {
 public:
  virtual ~RecordingFile() = default;
  // Appends all of `bytes`, or nothing and returns false.
  virtual bool Append(std::string_view bytes) = 0;
};

// Creates or truncates a file, which never grows beyond `max_size` bytes. Throws std::runtime_error with a
// one-line message if it can't be opened. Partial writes are removed, so that the file stays valid.
std::unique_ptr<RecordingFile> OpenFile(const std::string& path, std::uint64_t max_size);

class Recorder {
 public:
  // Writes the header before the thread starts. `now`: the loop's time, the start of the recording. Throws
  // std::runtime_error if the header can't be written.
  Recorder(std::unique_ptr<RecordingFile> output, const Header& header, std::string_view salt, Micros now);
  // Waits a second at most for pending blocks to be written.
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  // `record.arrival_time` is the loop's time. Hashes `id` and `key`. Never blocks.
  void Add(Micros now, Record record, std::string_view id, std::string_view key);

  std::uint64_t recorded() const;  // records written
  std::uint64_t lost() const;      // records dropped

 private:
  struct Shared;
  static bool Append(Shared& shared, BlockWriter& records, std::uint64_t unreported) noexcept;
  static void Write(const std::shared_ptr<Shared>& shared);
  void FlushBlock();

  const Hasher hash_;
  const Micros start_time_;
  BlockWriter block_;
  Micros block_start_ = 0;
  std::shared_ptr<Shared> shared_;
};

}  // namespace merlinrun::record

#endif  // MERLINRUN_RECORD_RECORDER_HPP_
