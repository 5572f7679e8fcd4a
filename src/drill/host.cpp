#include "host.hpp"

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace merlinrun::drill {
namespace {

constexpr std::string_view kPrefix = "sidecar/";
constexpr std::int64_t kMaxTimerDelay = 71LL * 60 * 1'000'000;  // limit of the protocol

// Writes the actions of one instance as lines.
class LineSink : public ActionSink {
 public:
  LineSink(std::string& reply, std::string_view name) : reply_(reply), name_(name) {}
  void Send(std::string_view request, const std::string& server, Micros timeout) override {
    Begin("ROUTE").Word(request).Word(server).Number(timeout).End();
  }
  void Cancel(std::string_view request, int attempt) override {
    Begin("RETRACT").Word(request).Number(attempt).End();
  }
  void Refuse(std::string_view request, Micros retry_after, Cause) override {
    Begin("TURN_AWAY").Word(request).Number(retry_after).End();
  }
  void Fail(std::string_view request, Cause) override { Begin("FINISH_ERROR").Word(request).End(); }
  void SetTimer(Micros delay, std::uint64_t token) override {
    Begin("SLEEP").Number(std::clamp<std::int64_t>(delay, 0, kMaxTimerDelay)).Number(token).End();
  }
  void Subscribe() override { Begin("OBSERVE").Word("1").End(); }
  void Log(std::string_view text) override { Begin("TRACE").Word(text).End(); }
  void Fatal(std::string_view text) {
    std::string one_line(text);
    std::replace(one_line.begin(), one_line.end(), '\n', ' ');
    Begin("FATAL").Word(one_line).End();
  }

 private:
  LineSink& Begin(std::string_view verb) {
    reply_.append(verb);
    return Word(name_);
  }
  LineSink& Word(std::string_view word) {
    reply_.push_back(' ');
    reply_.append(word);
    return *this;
  }
  template <typename T>
  LineSink& Number(T value) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
    return Word(std::string_view(digits, static_cast<std::size_t>(end - digits)));
  }
  void End() { reply_.push_back('\n'); }

  std::string& reply_;
  const std::string name_;
};

}  // namespace

class Host::Instance {
 public:
  Instance(std::string_view name, std::uint64_t seed, WireSettings wire, Micros now, std::string& reply)
      : sink_(reply, name), wire_(std::move(wire)) {
    std::string error;
    balancer_ = Balancer::Create(wire_.settings, seed, now, sink_, error);
    if (balancer_ == nullptr) sink_.Fatal("settings: " + error);
  }

  // Delivers an event; an exception ends the instance with FATAL.
  template <typename Event>
  void Run(Event event) {
    if (balancer_ == nullptr) return;
    try {
      event(*balancer_);
    } catch (const std::exception& error) {
      sink_.Fatal(error.what());
      balancer_ = nullptr;
    }
  }
  void Servers(Micros now, ListUpdate::Kind kind, std::int64_t version, const std::vector<Row>* rows) {
    std::vector<ServerInfo> servers;
    if (rows != nullptr) {
      servers.reserve(rows->size());
      for (const Row& row : *rows) {
        servers.push_back(row.info);
        servers.back().zone = IndexOf(wire_.zones, row.zone);
        servers.back().machine_type = IndexOf(wire_.machines, row.machine);
      }
    }
    Run([&](Balancer& b) { b.OnServers(now, {kind, version, servers}); });
  }
  int ClassIndex(std::string_view name) const { return FindByName(wire_.settings.classes, name, "class"); }
  int TenantIndex(std::string_view name) const {
    if (name == "-" || name == "0") return -1;
    return FindByName(wire_.settings.tenants, name, "tenant");
  }

 private:
  template <typename List>
  static int FindByName(const List& list, std::string_view name, const char* what) {
    for (std::size_t i = 0; i < list.size(); ++i)
      if (list[i].name == name) return static_cast<int>(i);
    throw WireError(std::string(what) + " '" + std::string(name.substr(0, 80)) + "': not in the settings");
  }

  LineSink sink_;
  WireSettings wire_;
  std::unique_ptr<Balancer> balancer_;
};

Host::Host() = default;
Host::~Host() = default;

bool Host::ProcessLine(std::string_view line) {
  ++line_number_;
  try {
    Fields fields(line);
    const std::string_view verb = fields.Word("verb");
    if (verb == "BEGIN_BATCH") {
      if (in_batch_) throw WireError("a batch is open already");
      const Micros now = fields.NonNegative("clock");
      fields.End();
      if (had_batch_ && now < now_) throw WireError("the clock went backwards");
      now_ = now;
      had_batch_ = in_batch_ = true;
      reply_.clear();
      return false;
    }
    if (!in_batch_) throw WireError("outside a batch");
    if (rows_missing_ > 0 && verb != "ROW") throw WireError("rows of the list are missing");
    if (verb == "COMMIT") {
      fields.End();
      in_batch_ = false;
      reply_.append("DONE\n");
      return true;
    }
    Dispatch(verb, fields);
    return false;
  } catch (const WireError& error) {
    const std::string verb(line.substr(0, std::min<std::size_t>(line.find(' '), 80)));
    throw WireError("line " + std::to_string(line_number_) + ": " + verb + ": " + error.what());
  }
}

void Host::Dispatch(std::string_view verb, Fields& fields) {
  if (verb == "ARRIVAL") {
    Instance& instance = Find(fields);
    Request request;
    request.id = fields.Word("call");
    const auto cost = fields.OptionalInt("cost_us");
    request.budget = fields.NonNegative("budget_us");
    const std::string_view tenant = fields.Word("project");
    const auto options = fields.OptionalInt("options").value_or(0);
    const std::string_view request_class = fields.Word("qos");
    const std::string_view key = fields.Word("name_key");
    fields.End();
    if (cost && *cost < 0) throw WireError("cost_us: negative");
    if (options & 1) request.cost = cost;
    request.is_retry = (options & 2) != 0;
    request.write = (options & 4) != 0;
    if (key != "-") request.key = key;
    request.tenant = instance.TenantIndex(tenant);
    request.request_class = instance.ClassIndex(request_class);
    instance.Run([&](Balancer& b) { b.OnRequest(now_, request); });
  } else if (verb == "RESOLVED") {
    Instance& instance = Find(fields);
    Outcome outcome;
    outcome.request = fields.Word("call");
    outcome.attempt = static_cast<int>(std::min<std::int64_t>(fields.NonNegative("leg"), 1'000'000));
    fields.Word("server");
    outcome.result = ParseResult(fields.Word("outcome"));
    outcome.elapsed = fields.NonNegative("wait_time_us");
    outcome.request_done = fields.Bool("settled");
    outcome.load = ParseLoad(fields.Word("stats"));
    fields.End();
    instance.Run([&](Balancer& b) { b.OnOutcome(now_, outcome); });
  } else if (verb == "DUE") {
    Instance& instance = Find(fields);
    const std::uint64_t token = fields.Unsigned("ref");
    fields.End();
    instance.Run([&](Balancer& b) { b.OnTimer(now_, token); });
  } else if (verb == "TIMED_OUT_CLIENT") {
    Instance& instance = Find(fields);
    const std::string_view request = fields.Word("call");
    fields.End();
    instance.Run([&](Balancer& b) { b.OnClientGone(now_, request); });
  } else if (verb == "HEADERS") {
    Instance& instance = Find(fields);
    const std::string_view request = fields.Word("call");
    const auto attempt = static_cast<int>(std::min<std::int64_t>(fields.NonNegative("leg"), 1'000'000));
    fields.Word("server");
    fields.NonNegative("wait_time_us");
    fields.End();
    instance.Run([&](Balancer& b) { b.OnResponseStarted(now_, request, attempt); });
  } else if (verb == "ROW") {
    AddRow(fields);
  } else if (verb == "TABLE") {
    const std::int64_t table = fields.NonNegative("page");
    if (table >= static_cast<std::int64_t>(kTables)) throw WireError("page: over 15");
    rows_missing_ = fields.NonNegative("rows");
    fields.End();
    table_ = static_cast<std::size_t>(table);
    tables_[table_].clear();
  } else if (verb == "DISCOVERY") {
    Discovery(fields);
  } else if (verb == "PROVISION") {
    Provision(fields);
  } else if (verb == "DOWN") {
    const std::int64_t instance_number = InstanceNumber(fields);
    fields.End();
    if (instances_.erase(instance_number) == 0) throw WireError("no such instance");
  } else if (verb == "ECHO") {
    Instance& instance = Find(fields);
    ProbeResult probe;
    probe.server = fields.Word("server");
    probe.result = ParseResult(fields.Word("outcome"));
    probe.elapsed = fields.NonNegative("wait_time_us");
    probe.load = ParseLoad(fields.Word("stats"));
    fields.End();
    instance.Run([&](Balancer& b) { b.OnProbeResult(now_, probe); });
  } else if (verb == "MESSAGE") {
    Instance& instance = Find(fields);
    const auto sender =
        static_cast<std::uint32_t>(std::min<std::int64_t>(fields.NonNegative("sender"), 1'000'000'000));
    const std::string bytes = ParseHex(fields.Word("blob"));
    fields.End();
    instance.Run([&](Balancer& b) { b.OnPeerMessage(now_, sender, bytes); });
  } else {
    throw WireError("unknown verb");
  }
}

void Host::AddRow(Fields& fields) {
  if (rows_missing_ == 0) throw WireError("outside a list");
  Row row;
  row.machine = fields.Word("generation_hw");
  row.zone = fields.Word("failure_domain");
  const std::string_view weight = fields.Word("power_hint");
  if (weight != "-") row.info.weight = Fields(weight).Number("power_hint");
  const std::string_view started = fields.Word("start_time_us");
  if (started != "-") row.info.started = Fields(started).NonNegative("start_time_us");
  row.info.cell = fields.OptionalInt("bay").value_or(-1);
  row.info.id = fields.Word("server");
  row.info.state = ParseState(fields.Word("readiness"));
  fields.End();
  tables_[table_].push_back(std::move(row));
  --rows_missing_;
}

void Host::Provision(Fields& fields) {
  const std::string_view name = Fields(fields).Word("sidecar");
  const std::int64_t instance_number = InstanceNumber(fields);
  const std::uint64_t seed = fields.Unsigned("seed");
  WireSettings wire = ParseSettings(fields.Rest());
  instances_[instance_number] = std::make_unique<Instance>(name, seed, std::move(wire), now_, reply_);
}

void Host::Discovery(Fields& fields) {
  Instance& instance = Find(fields);
  const std::string_view kind = fields.Word("kind");
  const std::int64_t version = fields.OptionalInt("version").value_or(0);
  const std::int64_t table = fields.OptionalInt("page").value_or(0);
  fields.End();
  if (kind == "X") return instance.Servers(now_, ListUpdate::Kind::kFailed, version, nullptr);
  if (table < 0 || table >= static_cast<std::int64_t>(kTables)) throw WireError("page: outside 0 to 15");
  const std::vector<Row>* rows = &tables_[static_cast<std::size_t>(table)];
  if (kind == "D") return instance.Servers(now_, ListUpdate::Kind::kDelta, version, rows);
  if (kind == "F") return instance.Servers(now_, ListUpdate::Kind::kFull, version, rows);
  if (kind == "C") return instance.Servers(now_, ListUpdate::Kind::kStale, version, rows);
  throw WireError("kind: not D, F, C or X");
}

Host::Instance& Host::Find(Fields& fields) {
  const auto it = instances_.find(InstanceNumber(fields));
  if (it == instances_.end()) throw WireError("no such instance");
  return *it->second;
}

std::int64_t Host::InstanceNumber(Fields& fields) {
  const std::string_view name = fields.Word("sidecar");
  if (name.substr(0, kPrefix.size()) != kPrefix) throw WireError("sidecar: not sidecar/NUMBER");
  return Fields(name.substr(kPrefix.size())).NonNegative("sidecar");
}

}  // namespace merlinrun::drill
