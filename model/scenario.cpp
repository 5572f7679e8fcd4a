#include "model/scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "model/random.hpp"

namespace merlinrun::model {
namespace {

constexpr std::size_t kMaxListSize = 64;

// Schema entry: the key, its member, the allowed range and its description.
template <typename Owner>
struct Parameter {
  const char* key;
  Range Owner::*member;
  double min;
  double max;
  const char* description;
};

struct Group {
  const char* name;
  std::vector<Parameter<Scenario>> parameters;
};

using S = Scenario;
using K = ServerKind;
using C = TrafficClass;
using T = Incident;

const std::vector<Group>& Groups() {
  static const std::vector<Group> groups = {
      {"day",
       {{"length_s", &S::length_s, 1, 86'400, "length of a day"},
        {"window_s", &S::window_s, 1, 3'600, "the window of the worst-window figure"},
        {"tick_ms", &S::tick_ms, 0, 100, "interval at which sidecars receive events; 0: immediately"}}},
      {"fleet",
       {{"servers", &S::servers, 1, 4'000, "activation servers"},
        {"sidecars", &S::sidecars, 1, 20'000, "sidecars"},
        {"data_centres", &S::data_centres, 1, 4, "data centres, with servers and sidecars spread evenly"},
        {"cell_size", &S::cell_size, 1, 1'000, "servers per cell"}}},
      {"load",
       {{"requests_per_s", &S::requests_per_s, 0.1, 1'000'000, "client requests per second, without retries"},
        {"swing", &S::swing, 0, 0.95, "relative amplitude of the load's oscillation"},
        {"swing_period_s", &S::swing_period_s, 1, 86'400, "period of the oscillation"},
        {"sidecar_cv", &S::sidecar_cv, 0, 10, "coefficient of variation of traffic between sidecars"},
        {"zone_skew", &S::zone_skew, 0, 0.95, "relative surplus of traffic in the first data centre"}}},
      {"connection",
       {{"per_core", &S::connections_per_core, 0, 100'000, "connections that a server accepts, per core"},
        {"handshake_ms", &S::handshake_ms, 0, 1'000, "work of the server for a new connection"},
        {"handshake_rtts", &S::handshake_rtts, 0, 10, "round trips to establish a connection"},
        {"connect_timeout_ms", &S::connect_timeout_ms, 1, 60'000, "connect timeout"}}},
      {"choke",
       {{"share", &S::choke_share, 0, 1, "share of days on which servers can choke"},
        {"at", &S::choke_at, 0, 1'000, "waiting requests per core that make a server choke"},
        {"over_s", &S::choke_over_s, 0, 600, "... when exceeded for this time"},
        {"slower", &S::choke_slower, 1, 100, "slowdown factor while choked"},
        {"rest_s", &S::choke_rest_s, 0, 600, "it recovers after this time at or below `below`"},
        {"below", &S::choke_below, 0, 100, "requests in the server per core"},
        {"most_s", &S::choke_most_s, 0, 86'400, "longest duration"}}},
      {"network",
       {{"same_ms", &S::same_ms, 0, 10'000, "one way, within a data centre"},
        {"cross_ms", &S::cross_ms, 0, 10'000, "one way, between data centres"},
        {"jitter", &S::jitter, 0, 10, "mean of an exponential relative surcharge"}}},
      {"client",
       {{"retries", &S::retries, 0, 20, "client retries per request"},
        {"try_share", &S::try_share, 0.01, 1, "timeout of a try as a share of the deadline"},
        {"backoff_ms", &S::backoff_ms, 0, 60'000, "backoff before the first retry; doubles each time"},
        {"honour", &S::honour, 0, 1, "share of clients that honour Retry-After"}}},
      {"discovery",
       {{"notice_s", &S::notice_s, 0, 600, "delay before a planned change is known"},
        {"silent_notice_s", &S::silent_notice_s, 0, 600, "delay before a crash is known"},
        {"add_s", &S::add_s, 0, 600, "delay before a new server is known"},
        {"period_ms", &S::period_ms, 1, 60'000, "publication interval of changes"},
        {"spread_ms", &S::spread_ms, 0, 60'000, "spread of delivery times between sidecars"},
        {"sizes", &S::sizes, 0, 1, "1: the list's weights are the servers' cores; 0: it has none"}}},
      {"rules",
       {{"drain_grace_ms", &S::drain_grace_ms, 0, 60'000, "grace period for sending to a draining server"},
        {"answer_slack_ms", &S::answer_slack_ms, 0, 10'000, "tolerance for answers after the deadline"},
        {"overload_factor", &S::overload_factor, 0.1, 100,
         "a cold server crashes above this multiple of its capacity"},
        {"fall_s", &S::fall_s, 0.01, 600, "... within this window"},
        {"fall_slack", &S::fall_slack, 0, 10'000, "mean requests above the budget, for random variation"},
        {"cold_from", &S::cold_from, 0.001, 1, "capacity of a cold server, as the sidecars are told"},
        {"warm_after_s", &S::warm_after_s, 0, 86'400, "warm-up time, as the sidecars are told"}}},
      {"allowed",
       {{"max_attempts", &S::max_attempts, 1, 20, "attempts per request"},
        {"max_retry_after_ms", &S::max_retry_after_ms, 0, 600'000,
         "longest Retry-After that clients honour"}}},
      {"goal",
       {{"whole", &S::whole, 0, 1, "weight of the whole run"},
        {"worst_window", &S::worst_window, 0, 1, "weight of the worst window"},
        {"worst_class", &S::worst_class, 0, 1, "weight of the worst class"}}},
      {"price",
       {{"crossing", &S::crossing, 0, 1,
         "cost of one cross-zone attempt per request, as the sidecars are told"},
        {"connection", &S::connection, 0, 1, "... of 100 open connections per server"}}},
      {"keys",
       {{"distinct", &S::keys, 0, 1'000'000, "distinct request keys; 0: none"},
        {"skew", &S::key_skew, 0, 4, "Zipf exponent of the keys' popularity"},
        {"warm_gain", &S::warm_gain, 0, 1, "share of the work saved by a warm key"},
        {"warm_s", &S::warm_s, 0, 86'400, "... within this window"},
        {"warm_per_core", &S::warm_per_core, 0, 100'000, "keys that a server keeps warm, per core"}}}};
  return groups;
}

const std::vector<Parameter<ServerKind>>& KindParameters() {
  static const std::vector<Parameter<ServerKind>> parameters = {
      {"share", &K::share, 0, 1e6, "weight among the kinds of servers"},
      {"cores", &K::cores, 1, 1'024, "cores"},
      {"speed", &K::speed, 0.01, 100, "relative to a standard core"},
      {"speed_cv", &K::speed_cv, 0, 2, "coefficient of variation between servers"},
      {"slots_per_core", &K::slots_per_core, 1, 10'000,
       "concurrent requests, including those waiting for dependencies"},
      {"queue_per_core", &K::queue_per_core, 0, 100'000, "queued requests; further ones are rejected"},
      {"thrash", &K::thrash, 0, 1, "relative increase of work per request above thrash_at"},
      {"thrash_at", &K::thrash_at, 0, 1e6, "requests in the server"},
      {"cold_share", &K::cold_share, 0.01, 1, "share of its capacity at the start"},
      {"cold_s", &K::cold_s, 0, 86'400, "linear warm-up time"},
      {"error_rate", &K::error_rate, 0, 1, "share of requests that fail"},
      {"pause_ms", &K::pause_ms, 0, 60'000, "length of a pause"},
      {"pause_every_s", &K::pause_every_s, 0, 86'400, "mean interval between pauses; 0: never"}};
  return parameters;
}

const std::vector<Parameter<TrafficClass>>& ClassParameters() {
  static const std::vector<Parameter<TrafficClass>> parameters = {
      {"share", &C::share, 0, 1e6, "weight among the classes"},
      {"work_ms", &C::work_ms, 0.001, 1e6, "mean work on a standard core"},
      {"wait_ms", &C::wait_ms, 0, 1e6, "mean wait for dependencies, off the cores"},
      {"cv", &C::cv, 0, 10, "coefficient of variation of the work between requests"},
      {"attempt_cv", &C::attempt_cv, 0, 10, "... between attempts of one request"},
      {"aim_ms", &C::aim_ms, 1, 1e7, "latency target"},
      {"deadline_ms", &C::deadline_ms, 1, 1e7, "deadline of a request across its tries"},
      {"worth", &C::worth, 0, 1e6, "value of one request"},
      {"late_worth", &C::late_worth, 0, 1, "share of the worth of a response after aim_ms"},
      {"window_s", &C::window_s, 0, 86'400, "deduplication window of servers, if keyed"}};
  return parameters;
}

const std::vector<Parameter<Incident>>& IncidentParameters() {
  static const std::vector<Parameter<Incident>> parameters = {
      {"at_s", &T::at_s, 0, 86'400, "start"},
      {"len_s", &T::len_s, 0, 86'400, "duration"},
      {"part", &T::part, 0, 1, "share of the servers, sidecars or requests affected"},
      {"size", &T::size, 0, 1'000, "factor of the work or the load, or seconds of delay"},
      {"ramp_s", &T::ramp_s, 0, 600, "ramp-up time of a launch"}};
  return parameters;
}

template <typename Enum>
struct EnumName {
  const char* name;
  Enum value;
};

constexpr EnumName<RetrySafety> kRepeatNames[] = {
    {"safe", RetrySafety::kSafe}, {"keyed", RetrySafety::kDeduplicated}, {"unsafe", RetrySafety::kNever}};
constexpr EnumName<DedupScope> kGroupNames[] = {
    {"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}};
constexpr EnumName<Incident::Kind> kIncidentNames[] = {
    {"servers-lost", T::Kind::kServersLost},  {"servers-stall", T::Kind::kServersStall},
    {"class-dear", T::Kind::kClassExpensive}, {"list-down", T::Kind::kListDown},
    {"list-late", T::Kind::kListLate},        {"sidecars-lost", T::Kind::kSidecarsLost},
    {"release", T::Kind::kRelease},           {"launch", T::Kind::kLaunch}};

template <typename Enum, std::size_t N>
const char* NameOf(const EnumName<Enum> (&names)[N], Enum value) {
  return std::find_if(names, names + N, [&](const auto& entry) { return entry.value == value; })->name;
}

// ---- Reading ----

struct SchemaError {
  toml::source_region at;
  std::string message;
};

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.15g", value);
  return text;
}

template <typename Owner>
Range ReadRange(const toml::node& node, const Parameter<Owner>& parameter) {
  const auto number = [](const toml::node& n) {
    return n.is_number() ? n.value<double>() : std::optional<double>();
  };
  std::optional<double> low = number(node);
  std::optional<double> high = low;
  if (const toml::array* const pair = node.as_array(); pair != nullptr && pair->size() == 2) {
    low = number(*pair->get(0));
    high = number(*pair->get(1));
  }
  if (!low || !high || !(*low >= parameter.min) || !(*high <= parameter.max) || !(*low <= *high))
    throw SchemaError{node.source(), std::string(parameter.key) + ": a number from " + Number(parameter.min) +
                                         " to " + Number(parameter.max) +
                                         ", or a range [low, high] of such, is needed"};
  return {*low, *high};
}

template <typename Owner>
void ReadParameters(const toml::table& table, const std::vector<Parameter<Owner>>& parameters,
                    std::initializer_list<std::string_view> other_keys, Owner& out) {
  for (const auto& [key, node] : table) {
    if (std::find(other_keys.begin(), other_keys.end(), key.str()) != other_keys.end()) continue;
    const auto parameter = std::find_if(parameters.begin(), parameters.end(),
                                        [&, name = key.str()](const auto& f) { return name == f.key; });
    if (parameter == parameters.end())
      throw SchemaError{node.source(), "unknown figure '" + std::string(key.str()) + "'"};
    out.*(parameter->member) = ReadRange(node, *parameter);
  }
}

std::string ReadText(const toml::table& table, const char* key, const char* expected) {
  const toml::node* const node = table.get(key);
  const auto text = node == nullptr ? std::optional<std::string>() : node->value_exact<std::string>();
  const auto fits = [](unsigned char c) { return c > ' ' && c != '"' && c != '\\' && c < 127; };
  if (!text || text->empty() || !std::all_of(text->begin(), text->end(), fits))
    throw SchemaError{node == nullptr ? table.source() : node->source(),
                      std::string(key) + ": " + expected + " is needed"};
  return *text;
}

template <typename Enum, std::size_t N>
Enum ReadEnum(const toml::table& table, const char* key, const EnumName<Enum> (&names)[N]) {
  std::string all;
  for (const auto& entry : names) all += (all.empty() ? "" : ", ") + std::string(entry.name);
  const std::string text = ReadText(table, key, ("one of " + all).c_str());
  const auto* const entry = std::find_if(names, names + N, [&](const auto& w) { return text == w.name; });
  if (entry == names + N)
    throw SchemaError{table.get(key)->source(), std::string(key) + ": one of " + all + " is needed"};
  return entry->value;
}

// Reads a list of tables; false if the file doesn't have it.
template <typename Read>
bool ReadList(const toml::table& root, const char* key, Read read) {
  const toml::node* const node = root.get(key);
  if (node == nullptr) return false;
  const toml::array* const list = node->as_array();
  if (list == nullptr || list->size() > kMaxListSize)
    throw SchemaError{node->source(), std::string(key) + ": [[" + key + "]] tables are needed, 64 at most"};
  for (const toml::node& item : *list) {
    const toml::table* const table = item.as_table();
    if (table == nullptr) throw SchemaError{item.source(), std::string(key) + ": a table is needed"};
    read(*table);
  }
  return true;
}

void ReadLists(const toml::table& root, Scenario& out) {
  std::vector<ServerKind> kinds;
  if (ReadList(root, "kind", [&](const toml::table& table) {
        ServerKind kind;
        kind.name = ReadText(table, "name", "a word");
        ReadParameters(table, KindParameters(), {"name"}, kind);
        kinds.push_back(std::move(kind));
      }))
    out.kinds = std::move(kinds);
  std::vector<TrafficClass> classes;
  if (ReadList(root, "class", [&](const toml::table& table) {
        TrafficClass c;
        c.name = ReadText(table, "name", "a word");
        c.repeat = ReadEnum(table, "repeat", kRepeatNames);
        if (table.get("group") != nullptr) c.group = ReadEnum(table, "group", kGroupNames);
        ReadParameters(table, ClassParameters(), {"name", "repeat", "group"}, c);
        if (std::any_of(classes.begin(), classes.end(),
                        [&](const auto& other) { return other.name == c.name; }))
          throw SchemaError{table.source(), "class '" + c.name + "' stands there twice"};
        classes.push_back(std::move(c));
      }))
    out.classes = std::move(classes);
  std::vector<Incident> incidents;
  if (ReadList(root, "trouble", [&](const toml::table& table) {
        Incident incident;
        incident.kind = ReadEnum(table, "kind", kIncidentNames);
        if (table.get("class") != nullptr) {
          incident.target_class = ReadText(table, "class", "a class's name");
          if (std::none_of(out.classes.begin(), out.classes.end(),
                           [&](const auto& c) { return c.name == incident.target_class; }))
            throw SchemaError{table.get("class")->source(),
                              "class: there is no class '" + incident.target_class + "'"};
        }
        ReadParameters(table, IncidentParameters(), {"kind", "class"}, incident);
        incidents.push_back(std::move(incident));
      }))
    out.incidents = std::move(incidents);
}

Scenario Read(const toml::table& root) {
  Scenario out = DefaultScenario();
  for (const auto& [key, node] : root) {
    const std::string_view name = key.str();
    if (name == "name" || name == "kind" || name == "class" || name == "trouble") continue;
    const auto group =
        std::find_if(Groups().begin(), Groups().end(), [&](const Group& g) { return name == g.name; });
    if (group == Groups().end()) throw SchemaError{node.source(), "unknown part '" + std::string(name) + "'"};
    const toml::table* const table = node.as_table();
    if (table == nullptr) throw SchemaError{node.source(), std::string(name) + ": a table is needed"};
    ReadParameters(*table, group->parameters, {}, out);
  }
  if (root.get("name") != nullptr) out.name = ReadText(root, "name", "a word");
  ReadLists(root, out);
  if (out.kinds.empty() || out.classes.empty())
    throw SchemaError{root.source(), "a [[kind]] and a [[class]] are needed"};
  const Scenario lowest = DrawDay(out, 0);
  if (std::none_of(lowest.kinds.begin(), lowest.kinds.end(), [](const auto& k) { return k.share.low > 0; }) ||
      std::none_of(lowest.classes.begin(), lowest.classes.end(),
                   [](const auto& c) { return c.share.low > 0; }))
    throw SchemaError{root.source(), "share: all kinds, or all classes, have none"};
  return out;
}

// ---- Printing ----

void PrintRange(std::string& out, const char* key, const Range& range, const char* text) {
  const std::string value =
      range.low == range.high ? Number(range.low) : "[" + Number(range.low) + ", " + Number(range.high) + "]";
  std::string line = std::string(key) + " = " + value;
  if (text != nullptr) line += std::string(line.size() < 28 ? 28 - line.size() : 1, ' ') + "# " + text;
  out += line + "\n";
}

// Descriptions are printed only with the first table of a list.
template <typename Owner>
void PrintParameters(std::string& out, const std::vector<Parameter<Owner>>& parameters, const Owner& owner,
                     bool explain) {
  for (const auto& parameter : parameters)
    PrintRange(out, parameter.key, owner.*(parameter.member), explain ? parameter.description : nullptr);
}

// ---- Drawing ----

template <typename Owner>
void DrawParameters(const std::vector<Parameter<Owner>>& parameters, std::uint64_t seed,
                    std::uint64_t group_index, Owner& owner) {
  std::uint64_t index = 0;
  for (const auto& parameter : parameters) {
    Range& range = owner.*(parameter.member);
    if (range.low < range.high)
      range.low =
          RandomStream(seed, Purpose::kScenario, group_index, index).UniformBetween(range.low, range.high);
    range.high = range.low;
    ++index;
  }
}

TrafficClass MakeClass(const char* name, Range share, Range work, Range wait, Range cv, Range attempt_cv,
                       double aim, double deadline, double worth, double late, RetrySafety repeat) {
  TrafficClass out;
  out.name = name;
  out.share = share;
  out.work_ms = work;
  out.wait_ms = wait;
  out.cv = cv;
  out.attempt_cv = attempt_cv;
  out.aim_ms = {aim, aim};
  out.deadline_ms = {deadline, deadline};
  out.worth = {worth, worth};
  out.late_worth = {late, late};
  out.repeat = repeat;
  return out;
}

}  // namespace

Scenario DefaultScenario() {
  Scenario out;
  ServerKind standard;
  standard.share = {0.5, 0.68};
  standard.speed = {0.85, 1.1};
  standard.speed_cv = {0.053, 0.24};
  standard.slots_per_core = {10, 24};
  standard.queue_per_core = {11, 39};
  standard.thrash = {0.016, 0.065};
  standard.thrash_at = {43, 66};
  standard.cold_share = {0.32, 0.58};
  standard.cold_s = {3.1, 8.9};
  standard.error_rate = {0, 0.001};
  ServerKind slow = standard;
  slow.name = "slow-4";
  slow.share = {0.35, 0.47};
  slow.speed = {0.64, 0.86};
  slow.speed_cv = {0.085, 0.22};
  slow.queue_per_core = {9.2, 35};
  slow.thrash = {0.024, 0.07};
  slow.cold_share = {0.32, 0.47};
  slow.cold_s = {4.9, 8};
  out.kinds = {standard, slow};
  out.classes = {MakeClass("sim-lookup", {0.29, 0.43}, {45, 82}, {110, 200}, {1.9, 2.7}, {0.1, 0.55}, 1'000,
                           3'000, 1, 0.25, RetrySafety::kSafe),
                 MakeClass("plan-check", {0.19, 0.29}, {57, 100}, {69, 130}, {1.7, 2.7}, {0.11, 0.46}, 1'200,
                           6'000, 1, 0.2, RetrySafety::kSafe),
                 MakeClass("activate", {0.18, 0.26}, {63, 110}, {230, 430}, {1.6, 2.8}, {0.1, 0.53}, 2'000,
                           6'000, 10, 0.5, RetrySafety::kDeduplicated),
                 MakeClass("number-port", {0.14, 0.22}, {100, 190}, {130, 230}, {1.4, 2.6}, {0.18, 0.59},
                           2'500, 5'000, 5, 0.25, RetrySafety::kNever)};
  return out;
}

std::variant<Scenario, std::string> ParseScenario(std::string_view text, const std::string& file) {
  const auto format_error = [&](const toml::source_region& at, std::string_view message) {
    return file + ":" + std::to_string(at.begin.line) + ":" + std::to_string(at.begin.column) + ": " +
           std::string(message);
  };
  try {
    return Read(toml::parse(text, file));
  } catch (const toml::parse_error& error) {
    return format_error(error.source(), error.description());
  } catch (const SchemaError& schema_error) {
    return format_error(schema_error.at, schema_error.message);
  }
}

std::string PrintScenario(const Scenario& scenario) {
  std::string out = "name = \"" + scenario.name + "\"\n";
  for (const Group& group : Groups()) {
    out += "\n[" + std::string(group.name) + "]\n";
    PrintParameters(out, group.parameters, scenario, true);
  }
  bool first = true;
  for (const ServerKind& kind : scenario.kinds) {
    out += "\n[[kind]]\nname = \"" + kind.name + "\"\n";
    PrintParameters(out, KindParameters(), kind, std::exchange(first, false));
  }
  first = true;
  for (const TrafficClass& c : scenario.classes) {
    out += "\n[[class]]\nname = \"" + c.name + "\"\nrepeat = \"" + NameOf(kRepeatNames, c.repeat) +
           "\"\ngroup = \"" + NameOf(kGroupNames, c.group) + "\"\n";
    PrintParameters(out, ClassParameters(), c, std::exchange(first, false));
  }
  first = true;
  for (const Incident& incident : scenario.incidents) {
    out += "\n[[trouble]]\nkind = \"" + std::string(NameOf(kIncidentNames, incident.kind)) + "\"\n";
    if (!incident.target_class.empty()) out += "class = \"" + incident.target_class + "\"\n";
    PrintParameters(out, IncidentParameters(), incident, std::exchange(first, false));
  }
  return out;
}

Scenario DrawDay(const Scenario& scenario, std::uint64_t seed) {
  Scenario day = scenario;
  std::uint64_t group_index = 0;
  for (const Group& group : Groups()) DrawParameters(group.parameters, seed, ++group_index, day);
  constexpr std::uint64_t kListBase =
      100;  // above the indices of the groups, so that adding a group changes no draws
  for (std::size_t i = 0; i < day.kinds.size(); ++i)
    DrawParameters(KindParameters(), seed, kListBase + i, day.kinds[i]);
  for (std::size_t i = 0; i < day.classes.size(); ++i)
    DrawParameters(ClassParameters(), seed, 2 * kListBase + i, day.classes[i]);
  for (std::size_t i = 0; i < day.incidents.size(); ++i)
    DrawParameters(IncidentParameters(), seed, 3 * kListBase + i, day.incidents[i]);
  return day;
}

Settings SettingsOf(const Scenario& day) {
  Settings out;
  for (const TrafficClass& c : day.classes) {
    RequestClass to;
    to.name = c.name;
    to.latency_target = MicrosOf(c.aim_ms, kMillisecond);
    to.deadline = MicrosOf(c.deadline_ms, kMillisecond);
    to.value = c.worth.low;
    to.late_value = c.late_worth.low;
    to.retry_safety = c.repeat;
    to.dedup_scope = c.group;
    to.dedup_window = MicrosOf(c.window_s, kSecond);
    out.classes.push_back(std::move(to));
  }
  out.sidecar_count = static_cast<std::uint32_t>(day.sidecars.low);
  out.tick = MicrosOf(day.tick_ms, kMillisecond);
  out.max_attempts = static_cast<int>(day.max_attempts.low);
  out.cancel = true;
  out.max_retry_after = MicrosOf(day.max_retry_after_ms, kMillisecond);
  out.dial_timeout = MicrosOf(day.connect_timeout_ms, kMillisecond);
  out.drain_grace = MicrosOf(day.drain_grace_ms, kMillisecond);
  out.cold_start_capacity = day.cold_from.low;
  out.warmup_time = MicrosOf(day.warm_after_s, kSecond);
  out.overload_factor = day.overload_factor.low;
  out.overload_crash_time = MicrosOf(day.fall_s, kSecond);
  out.warm_keys = day.keys.low >= 1 && day.warm_gain.low > 0;
  if (day.sizes.low >= 1) out.weights = Settings::Weights::kRough;
  // Costs as in the deployment.
  out.cost_cross_zone = day.crossing.low;
  out.cost_connection = day.connection.low;
  out.cost_handshake = 0.05;
  out.cost_wasted_work = 0.04;
  out.cost_late_failure = 0.05;
  out.goal_total = day.whole.low;
  out.goal_worst_window = day.worst_window.low;
  out.goal_worst_class = day.worst_class.low;
  return out;
}

}  // namespace merlinrun::model
