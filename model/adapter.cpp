#include "model/adapter.hpp"

#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

namespace merlinrun::model {
namespace {

// Limits of one reply; a program that hangs or never ends its reply fails its side.
constexpr int kReplyTimeoutMs = 20'000;
constexpr std::size_t kMaxReplyBytes = std::size_t{64} << 20;
// Wait for the program to exit before it is killed.
constexpr int kExitPolls = 100;  // times 10 ms
constexpr std::size_t kChunk = std::size_t{1} << 16;
constexpr std::string_view kSidecarPrefix = "sidecar/";

std::string FormatNumber(double value) {
  char text[32];
  const auto end =
      std::to_chars(text, text + sizeof text, value).ptr;  // shortest form that parses to the same value
  return std::string(text, end);
}

const char* WireName(RetrySafety repeat) {
  switch (repeat) {
    case RetrySafety::kSafe:
      return "idempotent";
    case RetrySafety::kDeduplicated:
      return "deduplicated";
    case RetrySafety::kNever:
      return "at_most_once";
  }
  return "";
}

const char* WireName(DedupScope group) {
  switch (group) {
    case DedupScope::kAll:
      return "all";
    case DedupScope::kZone:
      return "zone";
    case DedupScope::kCell:
      return "cell";
  }
  return "";
}

const char* WireName(Result result) {
  switch (result) {
    case Result::kSuccess:
      return "success";
    case Result::kError:
      return "failure";
    case Result::kRefused:
      return "overloaded";
    case Result::kTimeout:
      return "timed_out";
    case Result::kUnreachable:
      return "unreachable";
    case Result::kReset:
      return "broken";
    case Result::kCancelled:
      return "withdrawn";
    case Result::kNeverSent:
      return "void";
  }
  return "";
}

const char* WireName(ServerInfo::State state) {
  switch (state) {
    case ServerInfo::State::kHealthy:
      return "healthy";
    case ServerInfo::State::kDraining:
      return "cordoned";
    case ServerInfo::State::kGone:
      return "deregistered";
  }
  return "";
}

const char* WireName(ListUpdate::Kind kind) {
  switch (kind) {
    case ListUpdate::Kind::kDelta:
      return "D";
    case ListUpdate::Kind::kFull:
      return "F";
    case ListUpdate::Kind::kStale:
      return "C";
    case ListUpdate::Kind::kFailed:
      return "X";
  }
  return "";
}

std::string ZoneName(int zone) { return zone < 0 ? "-" : "dc-" + std::to_string(zone); }
constexpr int kMaxZones = 4;  // the most a scenario can have

// A child process with a socket as standard input and output.
class Process {
 public:
  explicit Process(const std::string& program) {
    int sockets[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets) != 0) return;
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_adddup2(&files, sockets[1], 0);
    ::posix_spawn_file_actions_adddup2(&files, sockets[1], 1);
    std::string name = program;
    char* arguments[] = {name.data(), nullptr};
    char* environment[] = {nullptr};
    if (::posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, environment) != 0) pid_ = -1;
    ::posix_spawn_file_actions_destroy(&files);
    ::close(sockets[1]);
    socket_ = sockets[0];
  }
  ~Process() {
    if (socket_ >= 0) ::close(socket_);
    if (pid_ <= 0) return;
    for (int i = 0; i < kExitPolls; ++i) {
      if (::waitpid(pid_, nullptr, WNOHANG) != 0) return;
      ::usleep(10'000);
    }
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Returns false on failure or timeout.
  bool Write(std::string_view text) {
    while (!text.empty()) {
      if (!WaitFor(POLLOUT)) return false;
      const ssize_t sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && (errno == EINTR || errno == EAGAIN)) continue;
      if (sent <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  // Appends received data; returns false at the end of the stream or on timeout.
  bool Read(std::string& out) {
    if (!WaitFor(POLLIN)) return false;
    char chunk[kChunk];
    const ssize_t got = ::recv(socket_, chunk, sizeof chunk, 0);
    if (got < 0 && errno == EINTR) return true;
    if (got <= 0) return false;
    out.append(chunk, static_cast<std::size_t>(got));
    return true;
  }

 private:
  bool WaitFor(short what) const {
    pollfd entry{socket_, what, 0};
    int ready = 0;
    do {
      ready = ::poll(&entry, 1, kReplyTimeoutMs);
    } while (ready < 0 && errno == EINTR);
    return socket_ >= 0 && pid_ > 0 && ready > 0;
  }
  pid_t pid_ = -1;
  int socket_ = -1;
};

// Splits a line into words; returns empty words at the end.
class WordReader {
 public:
  explicit WordReader(std::string_view line) : rest_(line) {}
  std::string_view Next() {
    const auto space = rest_.find(' ');
    const std::string_view word = rest_.substr(0, space);
    rest_ = space == std::string_view::npos ? "" : rest_.substr(space + 1);
    return word;
  }
  template <typename T>
  std::optional<T> Number() {
    const std::string_view word = Next();
    T value{};
    const auto read = std::from_chars(word.data(), word.data() + word.size(), value);
    if (read.ec != std::errc() || read.ptr != word.data() + word.size()) return std::nullopt;
    return value;
  }
  // As Number, but 0 if nothing is left.
  template <typename T>
  std::optional<T> OptionalNumber() {
    return rest_.empty() ? std::optional<T>(T{}) : Number<T>();
  }

 private:
  std::string_view rest_;
};

class AdapterSidecars : public Sidecars {
 public:
  AdapterSidecars(Actions& actions, const std::string& program) : actions_(actions), process_(program) {}

  void Start(std::uint32_t sidecar, const Settings& settings, std::uint64_t seed, Micros) override {
    classes_.clear();
    for (const RequestClass& c : settings.classes) classes_.push_back(c.name);
    Line("PROVISION", sidecar).Add(std::to_string(seed)).Add(SettingsLine(settings)).End();
  }
  void Stop(std::uint32_t sidecar, Micros) override { Line("DOWN", sidecar).End(); }
  void OnServers(std::uint32_t sidecar, Micros, const ListUpdate& update) override {
    std::string rows;
    for (const ServerInfo& info : update.servers) {
      rows += "ROW kind-" + std::to_string(info.machine_type) + " " + ZoneName(info.zone) + " " +
              FormatNumber(info.weight) + " " + std::to_string(info.started) + " " +
              std::to_string(info.cell) + " " + info.id + " " + WireName(info.state) + "\n";
    }
    if (rows != last_rows_) batch_ += "TABLE 0 " + std::to_string(update.servers.size()) + "\n" + rows;
    last_rows_ = std::move(rows);
    Line("DISCOVERY", sidecar).Add(WireName(update.kind)).Add(std::to_string(update.version)).Add("0").End();
  }
  void OnRequest(std::uint32_t sidecar, Micros, const Request& request) override {
    const int options = (request.is_retry ? 2 : 0) + (request.write ? 4 : 0);
    Line("ARRIVAL", sidecar).Add(request.id).Add("-").Add(std::to_string(request.budget)).Add("-");
    Add(std::to_string(options))
        .Add(classes_.at(static_cast<std::size_t>(request.request_class)))
        .Add(request.key.empty() ? "-" : request.key)
        .End();
  }
  void OnOutcome(std::uint32_t sidecar, Micros, const Outcome& outcome, std::string_view server) override {
    Line("RESOLVED", sidecar).Add(outcome.request).Add(std::to_string(outcome.attempt)).Add(server);
    Add(WireName(outcome.result))
        .Add(std::to_string(outcome.elapsed))
        .Add(outcome.request_done ? "1" : "0")
        .Add("-")
        .End();
  }
  void OnClientGone(std::uint32_t sidecar, Micros, std::string_view request) override {
    Line("TIMED_OUT_CLIENT", sidecar).Add(request).End();
  }
  void OnTimer(std::uint32_t sidecar, Micros, std::uint64_t token) override {
    Line("DUE", sidecar).Add(std::to_string(token)).End();
  }

  void Flush(Micros now) override {
    if (batch_.empty() || failed_) return;
    const std::string text =
        "BEGIN_BATCH " + std::to_string(now) + "\n" + std::exchange(batch_, "") + "COMMIT\n";
    std::string reply;
    if (!process_.Write(text)) return Fail("its program ended or does not read");
    while (!IsComplete(reply)) {
      if (reply.size() > kMaxReplyBytes) return Fail("its program's reply has no end");
      if (!process_.Read(reply)) return Fail("its program ended or gave no reply in time");
    }
    ExecuteReply(reply);
  }

 private:
  static bool IsComplete(std::string_view reply) {
    return reply == "DONE\n" || (reply.size() > 5 && reply.substr(reply.size() - 6) == "\nDONE\n");
  }
  void Fail(std::string what) {
    failed_ = true;
    actions_.Fault(std::move(what));
  }

  AdapterSidecars& Line(std::string_view verb, std::uint32_t sidecar) {
    batch_ += verb;
    batch_ += ' ';
    batch_ += kSidecarPrefix;
    batch_ += std::to_string(sidecar);
    return *this;
  }
  AdapterSidecars& Add(std::string_view word) {
    batch_ += ' ';
    batch_ += word;
    return *this;
  }
  void End() { batch_ += '\n'; }

  void ExecuteReply(std::string_view reply) {
    while (!reply.empty() && !failed_) {
      const auto end = reply.find('\n');
      const std::string_view line = reply.substr(0, end);
      reply.remove_prefix(end + 1);
      if (line == "DONE") return;
      if (!ExecuteLine(line)) Fail("its program replied '" + std::string(line.substr(0, 80)) + "'");
    }
  }

  // Returns false if the line is not a valid action.
  bool ExecuteLine(std::string_view line) {
    WordReader reader(line);
    const std::string_view verb = reader.Next();
    const std::string_view name = reader.Next();
    if (name.substr(0, kSidecarPrefix.size()) != kSidecarPrefix) return false;
    const auto sidecar = WordReader(name.substr(kSidecarPrefix.size())).Number<std::uint32_t>();
    if (!sidecar) return false;
    if (verb == "TRACE" || verb == "RELEASE" || verb == "OBSERVE") return true;  // not used by the model
    if (verb == "FATAL") {
      Fail("its decision code is broken: " + std::string(line.substr(0, 200)));
      return true;
    }
    if (verb == "SLEEP") {
      const auto delay = reader.Number<Micros>();
      const auto token = reader.Number<std::uint64_t>();
      if (delay && token) actions_.SetTimer(*sidecar, *delay, *token);
      return delay && token;
    }
    const std::string_view request = reader.Next();
    if (request.empty()) return false;
    if (verb == "ROUTE") {
      const std::string_view server = reader.Next();
      const auto timeout = reader.OptionalNumber<Micros>();
      if (timeout) actions_.Send(*sidecar, request, server, *timeout);
      return timeout.has_value();
    }
    if (verb == "RETRACT") {
      const auto attempt = reader.Number<int>();
      if (attempt) actions_.Cancel(*sidecar, request, *attempt);
      return attempt.has_value();
    }
    if (verb == "TURN_AWAY") {
      const auto pause = reader.OptionalNumber<Micros>();
      if (pause) actions_.Refuse(*sidecar, request, *pause);
      return pause.has_value();
    }
    if (verb == "FINISH_ERROR") actions_.Fail(*sidecar, request);
    return verb == "FINISH_ERROR";
  }

  Actions& actions_;
  Process process_;
  std::vector<std::string> classes_;
  std::string batch_;
  std::string last_rows_;  // rows of the last TABLE sent
  bool failed_ = false;
};

}  // namespace

std::string SettingsLine(const Settings& s) {
  std::string out;
  const auto add = [&](const std::string& path, const std::string& value) {
    out += (out.empty() ? "" : " ") + path + "=" + value;
  };
  const auto number = [&](const std::string& path, auto value) {
    add(path, FormatNumber(static_cast<double>(value)));
  };
  const auto whole = [&](const std::string& path, std::int64_t value) { add(path, std::to_string(value)); };
  const auto flag = [&](const std::string& path, bool value) { add(path, value ? "true" : "false"); };
  std::string zones;
  for (int i = 0; i < kMaxZones; ++i) zones += (i > 0 ? "," : "") + ZoneName(i);
  add("azs", zones);
  add("my_zone", ZoneName(s.zone));
  whole("grades.count", static_cast<std::int64_t>(s.classes.size()));
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    const std::string at = "grades." + std::to_string(i) + ".";
    add(at + "name", c.name);
    whole(at + "aim_us", c.latency_target);
    whole(at + "hard_limit_us", c.deadline);
    number(at + "importance", c.value);
    number(at + "late_value", c.late_value);
    add(at + "repeat", WireName(c.retry_safety));
    add(at + "group", WireName(c.dedup_scope));
    whole(at + "window_us", c.dedup_window);
    flag(at + "stream", false);
  }
  whole("rank", s.sidecar_index);
  whole("siblings", s.sidecar_count);
  whole("quantum_us", s.tick);
  whole("allowed.max_attempts", s.max_attempts);
  flag("allowed.cancel", s.cancel);
  flag("allowed.retry_after", s.max_retry_after > 0);
  whole("allowed.max_retry_after_us", s.max_retry_after);
  whole("allowed.dial_timeout_us", s.dial_timeout);
  add("membership_mode", "automatic");
  whole("rules.drain_grace_us", s.drain_grace);
  number("rules.cold_from", s.cold_start_capacity);
  whole("rules.warm_after_us", s.warmup_time);
  number("rules.overload_factor", s.overload_factor);
  whole("rules.fall_us", s.overload_crash_time);
  number("costs.cross_zone", s.cost_cross_zone);
  number("costs.waste", s.cost_wasted_work);
  number("costs.connection", s.cost_connection);
  number("costs.late_fail", s.cost_late_failure);
  number("costs.handshake", s.cost_handshake);
  number("goal.whole", s.goal_total);
  number("goal.worst_window", s.goal_worst_window);
  number("goal.worst_class", s.goal_worst_class);
  add("value_by", "request");
  add("weights", s.weights == Settings::Weights::kRough ? "rough" : "none");
  if (s.warm_keys) flag("domain.warm_keys", true);
  return out;
}

std::unique_ptr<Sidecars> MakeAdapterSidecars(Actions& actions, const std::string& program) {
  return std::make_unique<AdapterSidecars>(actions, program);
}

}  // namespace merlinrun::model
