#include "stand_ins/case_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>

namespace review {
namespace {

constexpr std::chrono::seconds kTimeLimit{115};

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kHeld:
      return "the rule held";
    case Verdict::kBroken:
      return "the rule was broken";
    case Verdict::kCouldNotRun:
      break;
  }
  return "the case could not run";
}

}  // namespace

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f s  ", Seconds());
  file_ << time << text << '\n';
}

void Record::Summary(const std::string& text) {
  Line(text);
  std::printf("%8.2f s  %s\n", Seconds(), text.c_str());
  std::fflush(stdout);
}

int RunCase(int argc, char** argv, std::function<asio::awaitable<Verdict>(CaseContext)> play) {
  if (argc != 2) return static_cast<int>(Verdict::kCouldNotRun);
  Record record(argv[1]);
  const char* trouble = std::getenv("TROUBLE");
  Verdict verdict = Verdict::kCouldNotRun;
  try {
    asio::io_context io(1);
    const CaseContext context{io, record, trouble == nullptr || std::string(trouble) != "0"};
    asio::co_spawn(io, play(context), [&](std::exception_ptr error, Verdict result) {
      if (!error) verdict = result;
      try {
        if (error) std::rethrow_exception(error);
      } catch (const std::exception& failure) {
        record.Summary(std::string("stopped by: ") + failure.what());
      }
      io.stop();
    });
    io.run_for(kTimeLimit);
  } catch (const std::exception& failure) {
    record.Summary(std::string("stopped by: ") + failure.what());
  }
  record.Summary(NameOf(verdict));
  std::fflush(stdout);
  return static_cast<int>(verdict);
}

}  // namespace review
