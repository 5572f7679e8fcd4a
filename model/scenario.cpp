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

constexpr std::size_t kMostList = 64;  // kinds, classes or troubles: far more than a fleet has

// One figure of the schema: its name, where it is kept, what it may be and what it means.
template <typename Owner>
struct Figure {
  const char* key;
  Range Owner::*member;
  double least;
  double most;
  const char* text;
};

struct Group {
  const char* name;
  std::vector<Figure<Scenario>> figures;
};

using S = Scenario;
using K = ServerKind;
using C = TrafficClass;
using T = Trouble;

const std::vector<Group>& Groups() {
  static const std::vector<Group> groups = {
      {"day",
       {{"length_s", &S::length_s, 1, 86'400, "how long a day is"},
        {"window_s", &S::window_s, 1, 3'600, "the window of the worst-window figure"},
        {"tick_ms", &S::tick_ms, 0, 100, "sidecars hear of things this far apart; 0: at once"}}},
      {"fleet",
       {{"servers", &S::servers, 1, 4'000, "activation servers"},
        {"sidecars", &S::sidecars, 1, 20'000, "sidecars"},
        {"data_centres", &S::data_centres, 1, 4, "data centres, servers and sidecars spread evenly"},
        {"cell_size", &S::cell_size, 1, 1'000, "servers of one cell"}}},
      {"load",
       {{"requests_per_s", &S::requests_per_s, 0.1, 1'000'000, "client requests a second, retries apart"},
        {"swing", &S::swing, 0, 0.95, "share by which the load goes up and down"},
        {"swing_period_s", &S::swing_period_s, 1, 86'400, "how long one such swing takes"},
        {"sidecar_cv", &S::sidecar_cv, 0, 10,
         "how unequal the sidecars' traffic is (coefficient of variation)"},
        {"zone_skew", &S::zone_skew, 0, 0.95, "by what share more the first data centre's sidecars ask"}}},
      {"connection",
       {{"per_core", &S::connections_per_core, 0, 100'000,
         "open connections that a server takes for each core"},
        {"handshake_ms", &S::handshake_ms, 0, 1'000, "work that a new connection costs the server"},
        {"handshake_rtts", &S::handshake_rtts, 0, 10, "round trips before a new connection is up"},
        {"connect_timeout_ms", &S::connect_timeout_ms, 1, 60'000,
         "a connection that is not up by then is given up"}}},
      {"choke",
       {{"share", &S::choke_share, 0, 1, "share of the days on which servers choke"},
        {"at", &S::choke_at, 0, 1'000, "requests that wait for each core"},
        {"over_s", &S::choke_over_s, 0, 600, "... for so long make it choke"},
        {"slower", &S::choke_slower, 1, 100, "how many times slower it is then"},
        {"rest_s", &S::choke_rest_s, 0, 600, "it recovers when it has had no more than `below` for so long"},
        {"below", &S::choke_below, 0, 100, "requests held for each core"},
        {"most_s", &S::choke_most_s, 0, 86'400, "it recovers at the latest"}}},
      {"network",
       {{"same_ms", &S::same_ms, 0, 10'000, "one way, within a data centre"},
        {"cross_ms", &S::cross_ms, 0, 10'000, "one way, between two"},
        {"jitter", &S::jitter, 0, 10, "mean of what comes on top, as a share"}}},
      {"client",
       {{"retries", &S::retries, 0, 20, "times that a client comes again by itself"},
        {"try_share", &S::try_share, 0.01, 1, "share of the deadline after which a try is given up"},
        {"backoff_ms", &S::backoff_ms, 0, 60'000, "wait before the first retry; it doubles"},
        {"honour", &S::honour, 0, 1, "share of the clients that follow Retry-After"}}},
      {"discovery",
       {{"notice_s", &S::notice_s, 0, 600, "until a planned change is told"},
        {"silent_notice_s", &S::silent_notice_s, 0, 600, "until a death is told"},
        {"add_s", &S::add_s, 0, 600, "until a server that has started is told"},
        {"period_ms", &S::period_ms, 1, 60'000, "changes of such a time are told together"},
        {"spread_ms", &S::spread_ms, 0, 60'000, "by which sidecars differ in when they hear"},
        {"sizes", &S::sizes, 0, 1, "1: the list's weights are the servers' cores; 0: it has none"}}},
      {"rules",
       {{"drain_grace_ms", &S::drain_grace_ms, 0, 60'000,
         "nothing new to a server so long after it was told"},
        {"answer_slack_ms", &S::answer_slack_ms, 0, 10'000, "an answer may come so long after the deadline"},
        {"overload_factor", &S::overload_factor, 0.1, 100,
         "a cold server falls over from so many times its capacity"},
        {"fall_s", &S::fall_s, 0.01, 600, "... within such a time"},
        {"fall_slack", &S::fall_slack, 0, 10'000, "mean requests that pass on top, for chance"},
        {"cold_from", &S::cold_from, 0.001, 1,
         "the share of its capacity that sidecars are told it starts with"},
        {"warm_after_s", &S::warm_after_s, 0, 86'400, "the time after which sidecars are told it is warm"}}},
      {"allowed",
       {{"max_attempts", &S::max_attempts, 1, 20, "attempts for a request"},
        {"max_retry_after_ms", &S::max_retry_after_ms, 0, 600'000,
         "the longest advice that clients follow"}}},
      {"goal",
       {{"whole", &S::whole, 0, 1, "weight of the whole run"},
        {"worst_window", &S::worst_window, 0, 1, "weight of the worst window"},
        {"worst_class", &S::worst_class, 0, 1, "weight of the worst class"}}},
      {"price",
       {{"crossing", &S::crossing, 0, 1,
         "what sidecars are told: of each request crossing data centres once"},
        {"connection", &S::connection, 0, 1, "... of a hundred open connections a server"}}},
      {"keys",
       {{"distinct", &S::keys, 0, 1'000'000, "what requests are about; 0: they are about nothing"},
        {"skew", &S::key_skew, 0, 4, "Zipf's exponent of how popular the keys are"},
        {"warm_gain", &S::warm_gain, 0, 1,
         "share of the work that a server saves for a key it has lately met"},
        {"warm_s", &S::warm_s, 0, 86'400, "... within such a time"},
        {"warm_per_core", &S::warm_per_core, 0, 100'000, "keys that it keeps so, for each core"}}}};
  return groups;
}

const std::vector<Figure<ServerKind>>& KindFigures() {
  static const std::vector<Figure<ServerKind>> figures = {
      {"share", &K::share, 0, 1e6, "of the servers, in proportion"},
      {"cores", &K::cores, 1, 1'024, "cores"},
      {"speed", &K::speed, 0.01, 100, "of a core, as a multiple of a standard one"},
      {"speed_cv", &K::speed_cv, 0, 2, "how unequal servers of the kind are"},
      {"slots_per_core", &K::slots_per_core, 1, 10'000,
       "requests in work at once, those that wait on others included"},
      {"queue_per_core", &K::queue_per_core, 0, 100'000,
       "requests that wait for a slot; one more is turned away"},
      {"thrash", &K::thrash, 0, 1, "share by which work grows for each request held above thrash_at"},
      {"thrash_at", &K::thrash_at, 0, 1e6, "requests held"},
      {"cold_share", &K::cold_share, 0.01, 1, "of its capacity at its start"},
      {"cold_s", &K::cold_s, 0, 86'400, "until it is warm"},
      {"error_rate", &K::error_rate, 0, 1, "share of its requests that end in an error"},
      {"pause_ms", &K::pause_ms, 0, 60'000, "it stands still for so long"},
      {"pause_every_s", &K::pause_every_s, 0, 86'400, "... so far apart on average; 0: never"}};
  return figures;
}

const std::vector<Figure<TrafficClass>>& ClassFigures() {
  static const std::vector<Figure<TrafficClass>> figures = {
      {"share", &C::share, 0, 1e6, "of the requests, in proportion"},
      {"work_ms", &C::work_ms, 0.001, 1e6, "mean work on a standard core"},
      {"wait_ms", &C::wait_ms, 0, 1e6, "mean wait on others, which holds no core"},
      {"cv", &C::cv, 0, 10, "of the work, from request to request"},
      {"attempt_cv", &C::attempt_cv, 0, 10, "of the work, from attempt to attempt"},
      {"aim_ms", &C::aim_ms, 1, 1e7, "an answer within this time is worth all"},
      {"deadline_ms", &C::deadline_ms, 1, 1e7, "the longest that a client waits, over all its tries"},
      {"worth", &C::worth, 0, 1e6, "of one request"},
      {"late_worth", &C::late_worth, 0, 1, "share of it that an answer after the aim is worth"},
      {"window_s", &C::window_s, 0, 86'400, "in which servers drop a repeat, if it is keyed"}};
  return figures;
}

const std::vector<Figure<Trouble>>& TroubleFigures() {
  static const std::vector<Figure<Trouble>> figures = {
      {"at_s", &T::at_s, 0, 86'400, "when it begins"},
      {"len_s", &T::len_s, 0, 86'400, "how long it lasts"},
      {"part", &T::part, 0, 1, "of the servers, sidecars or requests"},
      {"size", &T::size, 0, 1'000, "times the work or the load, or seconds further behind"},
      {"ramp_s", &T::ramp_s, 0, 600, "within which a launch's load grows"}};
  return figures;
}

template <typename Enum>
struct Word {
  const char* name;
  Enum value;
};

constexpr Word<RetrySafety> kRepeats[] = {
    {"safe", RetrySafety::kSafe}, {"keyed", RetrySafety::kDeduplicated}, {"unsafe", RetrySafety::kNever}};
constexpr Word<DedupScope> kGroupWords[] = {
    {"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}};
constexpr Word<Trouble::Kind> kTroubles[] = {
    {"servers-lost", T::Kind::kServersLost}, {"servers-stall", T::Kind::kServersStall},
    {"class-dear", T::Kind::kClassDear},     {"list-down", T::Kind::kListDown},
    {"list-late", T::Kind::kListLate},       {"sidecars-lost", T::Kind::kSidecarsLost},
    {"release", T::Kind::kRelease},          {"launch", T::Kind::kLaunch}};

template <typename Enum, std::size_t N>
const char* NameOf(const Word<Enum> (&words)[N], Enum value) {
  return std::find_if(words, words + N, [&](const auto& word) { return word.value == value; })->name;
}

// ---- Reading ----

struct Wrong {
  toml::source_region at;
  std::string what;
};

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.15g", value);
  return text;
}

template <typename Owner>
Range ReadRange(const toml::node& node, const Figure<Owner>& figure) {
  const auto number = [](const toml::node& n) {
    return n.is_number() ? n.value<double>() : std::optional<double>();
  };
  std::optional<double> low = number(node);
  std::optional<double> high = low;
  if (const toml::array* const pair = node.as_array(); pair != nullptr && pair->size() == 2) {
    low = number(*pair->get(0));
    high = number(*pair->get(1));
  }
  if (!low || !high || !(*low >= figure.least) || !(*high <= figure.most) || !(*low <= *high))
    throw Wrong{node.source(), std::string(figure.key) + ": a number from " + Number(figure.least) + " to " +
                                   Number(figure.most) + ", or a range [low, high] of such, is needed"};
  return {*low, *high};
}

template <typename Owner>
void ReadFigures(const toml::table& table, const std::vector<Figure<Owner>>& figures,
                 std::initializer_list<std::string_view> besides, Owner& out) {
  for (const auto& [key, node] : table) {
    if (std::find(besides.begin(), besides.end(), key.str()) != besides.end()) continue;
    const auto figure = std::find_if(figures.begin(), figures.end(),
                                     [&, name = key.str()](const auto& f) { return name == f.key; });
    if (figure == figures.end())
      throw Wrong{node.source(), "unknown figure '" + std::string(key.str()) + "'"};
    out.*(figure->member) = ReadRange(node, *figure);
  }
}

std::string ReadText(const toml::table& table, const char* key, const char* what) {
  const toml::node* const node = table.get(key);
  const auto text = node == nullptr ? std::optional<std::string>() : node->value_exact<std::string>();
  const auto fits = [](unsigned char c) { return c > ' ' && c != '"' && c != '\\' && c < 127; };
  if (!text || text->empty() || !std::all_of(text->begin(), text->end(), fits))
    throw Wrong{node == nullptr ? table.source() : node->source(),
                std::string(key) + ": " + what + " is needed"};
  return *text;
}

template <typename Enum, std::size_t N>
Enum ReadWord(const toml::table& table, const char* key, const Word<Enum> (&words)[N]) {
  std::string all;
  for (const auto& word : words) all += (all.empty() ? "" : ", ") + std::string(word.name);
  const std::string text = ReadText(table, key, ("one of " + all).c_str());
  const auto* const word = std::find_if(words, words + N, [&](const auto& w) { return text == w.name; });
  if (word == words + N)
    throw Wrong{table.get(key)->source(), std::string(key) + ": one of " + all + " is needed"};
  return word->value;
}

// The tables of a list, which replace the defaults; none if the file does not have it.
template <typename Read>
bool ReadList(const toml::table& root, const char* key, Read read) {
  const toml::node* const node = root.get(key);
  if (node == nullptr) return false;
  const toml::array* const list = node->as_array();
  if (list == nullptr || list->size() > kMostList)
    throw Wrong{node->source(), std::string(key) + ": [[" + key + "]] tables are needed, 64 at most"};
  for (const toml::node& item : *list) {
    const toml::table* const table = item.as_table();
    if (table == nullptr) throw Wrong{item.source(), std::string(key) + ": a table is needed"};
    read(*table);
  }
  return true;
}

void ReadLists(const toml::table& root, Scenario& out) {
  std::vector<ServerKind> kinds;
  if (ReadList(root, "kind", [&](const toml::table& table) {
        ServerKind kind;
        kind.name = ReadText(table, "name", "a word");
        ReadFigures(table, KindFigures(), {"name"}, kind);
        kinds.push_back(std::move(kind));
      }))
    out.kinds = std::move(kinds);
  std::vector<TrafficClass> classes;
  if (ReadList(root, "class", [&](const toml::table& table) {
        TrafficClass c;
        c.name = ReadText(table, "name", "a word");
        c.repeat = ReadWord(table, "repeat", kRepeats);
        if (table.get("group") != nullptr) c.group = ReadWord(table, "group", kGroupWords);
        ReadFigures(table, ClassFigures(), {"name", "repeat", "group"}, c);
        if (std::any_of(classes.begin(), classes.end(),
                        [&](const auto& other) { return other.name == c.name; }))
          throw Wrong{table.source(), "class '" + c.name + "' stands there twice"};
        classes.push_back(std::move(c));
      }))
    out.classes = std::move(classes);
  std::vector<Trouble> troubles;
  if (ReadList(root, "trouble", [&](const toml::table& table) {
        Trouble trouble;
        trouble.kind = ReadWord(table, "kind", kTroubles);
        if (table.get("class") != nullptr) {
          trouble.of_class = ReadText(table, "class", "a class's name");
          if (std::none_of(out.classes.begin(), out.classes.end(),
                           [&](const auto& c) { return c.name == trouble.of_class; }))
            throw Wrong{table.get("class")->source(), "class: there is no class '" + trouble.of_class + "'"};
        }
        ReadFigures(table, TroubleFigures(), {"kind", "class"}, trouble);
        troubles.push_back(std::move(trouble));
      }))
    out.troubles = std::move(troubles);
}

Scenario Read(const toml::table& root) {
  Scenario out = DefaultScenario();
  for (const auto& [key, node] : root) {
    const std::string_view name = key.str();
    if (name == "name" || name == "kind" || name == "class" || name == "trouble") continue;
    const auto group =
        std::find_if(Groups().begin(), Groups().end(), [&](const Group& g) { return name == g.name; });
    if (group == Groups().end()) throw Wrong{node.source(), "unknown part '" + std::string(name) + "'"};
    const toml::table* const table = node.as_table();
    if (table == nullptr) throw Wrong{node.source(), std::string(name) + ": a table is needed"};
    ReadFigures(*table, group->figures, {}, out);
  }
  if (root.get("name") != nullptr) out.name = ReadText(root, "name", "a word");
  ReadLists(root, out);
  if (out.kinds.empty() || out.classes.empty())
    throw Wrong{root.source(), "a [[kind]] and a [[class]] are needed"};
  const Scenario lowest = DrawDay(out, 0);
  if (std::none_of(lowest.kinds.begin(), lowest.kinds.end(), [](const auto& k) { return k.share.low > 0; }) ||
      std::none_of(lowest.classes.begin(), lowest.classes.end(),
                   [](const auto& c) { return c.share.low > 0; }))
    throw Wrong{root.source(), "share: all kinds, or all classes, have none"};
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

// What a figure means is said at the first table of a list alone.
template <typename Owner>
void PrintFigures(std::string& out, const std::vector<Figure<Owner>>& figures, const Owner& owner,
                  bool explain) {
  for (const auto& figure : figures)
    PrintRange(out, figure.key, owner.*(figure.member), explain ? figure.text : nullptr);
}

// ---- Drawing ----

template <typename Owner>
void DrawFigures(const std::vector<Figure<Owner>>& figures, std::uint64_t seed, std::uint64_t what,
                 Owner& owner) {
  std::uint64_t index = 0;
  for (const auto& figure : figures) {
    Range& range = owner.*(figure.member);
    if (range.low < range.high)
      range.low = Draws(seed, Purpose::kScenario, what, index).Between(range.low, range.high);
    range.high = range.low;
    ++index;
  }
}

TrafficClass Class(const char* name, Range share, Range work, Range wait, Range cv, Range noise, double aim,
                   double deadline, double worth, double late, RetrySafety repeat) {
  TrafficClass out;
  out.name = name;
  out.share = share;
  out.work_ms = work;
  out.wait_ms = wait;
  out.cv = cv;
  out.attempt_cv = noise;
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
  out.classes = {Class("sim-lookup", {0.29, 0.43}, {45, 82}, {110, 200}, {1.9, 2.7}, {0.1, 0.55}, 1'000,
                       3'000, 1, 0.25, RetrySafety::kSafe),
                 Class("plan-check", {0.19, 0.29}, {57, 100}, {69, 130}, {1.7, 2.7}, {0.11, 0.46}, 1'200,
                       6'000, 1, 0.2, RetrySafety::kSafe),
                 Class("activate", {0.18, 0.26}, {63, 110}, {230, 430}, {1.6, 2.8}, {0.1, 0.53}, 2'000, 6'000,
                       10, 0.5, RetrySafety::kDeduplicated),
                 Class("number-port", {0.14, 0.22}, {100, 190}, {130, 230}, {1.4, 2.6}, {0.18, 0.59}, 2'500,
                       5'000, 5, 0.25, RetrySafety::kNever)};
  return out;
}

std::variant<Scenario, std::string> ParseScenario(std::string_view text, const std::string& file) {
  const auto tell = [&](const toml::source_region& at, std::string_view what) {
    return file + ":" + std::to_string(at.begin.line) + ":" + std::to_string(at.begin.column) + ": " +
           std::string(what);
  };
  try {
    return Read(toml::parse(text, file));
  } catch (const toml::parse_error& error) {
    return tell(error.source(), error.description());
  } catch (const Wrong& wrong) {
    return tell(wrong.at, wrong.what);
  }
}

std::string PrintScenario(const Scenario& scenario) {
  std::string out = "name = \"" + scenario.name + "\"\n";
  for (const Group& group : Groups()) {
    out += "\n[" + std::string(group.name) + "]\n";
    PrintFigures(out, group.figures, scenario, true);
  }
  bool first = true;
  for (const ServerKind& kind : scenario.kinds) {
    out += "\n[[kind]]\nname = \"" + kind.name + "\"\n";
    PrintFigures(out, KindFigures(), kind, std::exchange(first, false));
  }
  first = true;
  for (const TrafficClass& c : scenario.classes) {
    out += "\n[[class]]\nname = \"" + c.name + "\"\nrepeat = \"" + NameOf(kRepeats, c.repeat) +
           "\"\ngroup = \"" + NameOf(kGroupWords, c.group) + "\"\n";
    PrintFigures(out, ClassFigures(), c, std::exchange(first, false));
  }
  first = true;
  for (const Trouble& trouble : scenario.troubles) {
    out += "\n[[trouble]]\nkind = \"" + std::string(NameOf(kTroubles, trouble.kind)) + "\"\n";
    if (!trouble.of_class.empty()) out += "class = \"" + trouble.of_class + "\"\n";
    PrintFigures(out, TroubleFigures(), trouble, std::exchange(first, false));
  }
  return out;
}

Scenario DrawDay(const Scenario& scenario, std::uint64_t seed) {
  Scenario day = scenario;
  std::uint64_t what = 0;
  for (const Group& group : Groups()) DrawFigures(group.figures, seed, ++what, day);
  constexpr std::uint64_t kLists = 100;  // far behind the groups, so that a new one moves no draw
  for (std::size_t i = 0; i < day.kinds.size(); ++i)
    DrawFigures(KindFigures(), seed, kLists + i, day.kinds[i]);
  for (std::size_t i = 0; i < day.classes.size(); ++i)
    DrawFigures(ClassFigures(), seed, 2 * kLists + i, day.classes[i]);
  for (std::size_t i = 0; i < day.troubles.size(); ++i)
    DrawFigures(TroubleFigures(), seed, 3 * kLists + i, day.troubles[i]);
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
  // As the deployment states them (prices, in shares of the result).
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
