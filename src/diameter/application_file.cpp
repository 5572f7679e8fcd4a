// The schema of the operator's Diameter file and its reader.
#include <toml++/toml.h>

#include <algorithm>
#include <functional>
#include <initializer_list>
#include <stdexcept>

#include "core/names.hpp"
#include "diameter/application.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

constexpr std::int64_t kVersion = 1;
constexpr std::int64_t kMostCode = 0xffffffff;
constexpr std::int64_t kMostCommand = 0xffffff;
constexpr Micros kSecond = 1'000'000;

// Thrown and caught in this file alone: one place and one reason.
class Wrong : public std::runtime_error {
 public:
  Wrong(const toml::source_region& where, const std::string& what)
      : std::runtime_error(std::to_string(where.begin.line) + ":" + std::to_string(where.begin.column) +
                           ": " + what) {}
};

// One table of the file. Every key that is read is known; any other one is an error, as a slip of the pen in
// the name of a limit would leave that limit as it was.
class Section {
 public:
  Section(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

  void Allow(std::initializer_list<std::string_view> keys) const {
    for (const auto& [key, value] : table_)
      if (std::find(keys.begin(), keys.end(), key.str()) == keys.end())
        throw Wrong(value.source(), "unknown setting '" + Path(key.str()) + "'");
  }
  const toml::node* Get(std::string_view key) const { return table_.get(key); }
  bool Has(std::string_view key) const { return Get(key) != nullptr; }

  std::string Text(std::string_view key) const {
    const toml::node& node = Must(key);
    const auto value = node.value_exact<std::string>();
    if (!value || value->empty()) throw Wrong(node.source(), Path(key) + ": a text is needed");
    return *value;
  }
  std::string Text(std::string_view key, const std::string& otherwise) const {
    return Has(key) ? Text(key) : otherwise;
  }
  std::string Identity(std::string_view key) const {
    std::string value = Text(key);
    if (!Fits(Format::kIdentity, value)) Reject(key, "'" + value + "' is no DiameterIdentity");
    return value;
  }
  bool Flag(std::string_view key, bool otherwise) const {
    if (!Has(key)) return otherwise;
    const auto value = Must(key).value_exact<bool>();
    if (!value) Reject(key, "true or false is needed");
    return *value;
  }
  std::int64_t Number(std::string_view key, std::int64_t least, std::int64_t most) const {
    const auto value = Must(key).value_exact<std::int64_t>();
    if (!value || *value < least || *value > most)
      Reject(key,
             "a whole number from " + std::to_string(least) + " to " + std::to_string(most) + " is needed");
    return *value;
  }
  std::int64_t Number(std::string_view key, std::int64_t least, std::int64_t most,
                      std::int64_t otherwise) const {
    return Has(key) ? Number(key, least, most) : otherwise;
  }
  std::vector<std::string> Identities(std::string_view key) const {
    const toml::array* const list = Must(key).as_array();
    std::vector<std::string> out;
    if (list != nullptr)
      for (const toml::node& item : *list) out.push_back(item.value_exact<std::string>().value_or(""));
    const auto bad = [](const std::string& item) { return !Fits(Format::kIdentity, item); };
    if (out.empty() || std::any_of(out.begin(), out.end(), bad)) Reject(key, "a list of names is needed");
    return out;
  }
  Section Table(std::string_view key) const {
    const toml::table* const table = Must(key).as_table();
    if (table == nullptr) Reject(key, "a table is needed");
    return {*table, Path(key)};
  }
  std::vector<Section> Tables(std::string_view key) const {
    std::vector<Section> out;
    const toml::node* const node = Get(key);
    if (node == nullptr) return out;
    const toml::array* const list = node->as_array();
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
      if (const toml::table* const table = list->get(i)->as_table(); table != nullptr)
        out.emplace_back(*table, Path(key) + "[" + std::to_string(i) + "]");
    if (list == nullptr || out.size() != list->size()) Reject(key, "a list of tables is needed");
    return out;
  }

  [[noreturn]] void Reject(std::string_view key, const std::string& what) const {
    throw Wrong(Must(key).source(), Path(key) + ": " + what);
  }

 private:
  std::string Path(std::string_view key) const {
    return name_.empty() ? std::string(key) : name_ + "." + std::string(key);
  }
  const toml::node& Must(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) throw Wrong(table_.source(), "'" + Path(key) + "' is missing");
    return *node;
  }

  const toml::table& table_;
  std::string name_;
};

void Replace(std::string& text, std::string_view what, std::string_view with) {
  if (const auto at = text.find(what); at != std::string::npos) text.replace(at, what.size(), with);
}

void ReadNode(const Section& root, std::string_view name, Application& out) {
  const Section node = root.Table("node");
  node.Allow({"host", "realm", "listen", "tls_listen", "realms"});
  out.host = node.Text("host");
  Replace(out.host, "{name}", name);
  if (!Fits(Format::kIdentity, out.host)) node.Reject("host", "'" + out.host + "' is no DiameterIdentity");
  out.realm = node.Identity("realm");
  out.realms = node.Identities("realms");
  out.listen = node.Text("listen", "");
  out.tls_listen = node.Text("tls_listen", "");
  if (out.listen.empty() && out.tls_listen.empty())
    node.Reject("host", "neither listen nor tls_listen is set");
}

void ReadTls(const Section& root, Application& out) {
  if (root.Has("tls")) {
    const Section tls = root.Table("tls");
    tls.Allow({"certificate", "key", "authorities"});
    out.tls = {tls.Text("certificate"), tls.Text("key"), tls.Text("authorities")};
    return;
  }
  if (!out.tls_listen.empty()) root.Table("node").Reject("tls_listen", "there is no [tls] with certificates");
}

void ReadPeers(const Section& root, Application& out) {
  for (const Section& client : root.Tables("client")) {
    client.Allow({"host", "tls"});
    const std::string host = client.Identity("host");
    const bool known = std::any_of(out.clients.begin(), out.clients.end(),
                                   [&](const AllowedClient& rule) { return SameName(rule.host, host); });
    if (known) client.Reject("host", "'" + host + "' stands there twice");
    const bool tls = client.Flag("tls", !out.tls_listen.empty());
    if (tls && out.tls_listen.empty()) client.Reject("tls", "there is no tls_listen");
    if (!tls && out.listen.empty()) client.Reject("host", "it may come without TLS, and there is no listen");
    out.clients.push_back({host, tls});
  }
  if (out.clients.empty()) throw Wrong({}, "no [[client]]: nobody could connect");
  const Section servers = root.Table("servers");
  servers.Allow({"host", "tls"});
  out.server_host = servers.Text("host");
  const std::string example = out.ServerHost("s-1");
  if (example == out.server_host || !Fits(Format::kIdentity, example))
    servers.Reject("host", "a DiameterIdentity with {id} in it is needed");
  out.servers_tls = servers.Flag("tls", false);
  if (out.servers_tls && out.tls.certificate.empty())
    servers.Reject("tls", "there is no [tls] with certificates");
}

void ReadLimits(const Section& root, Application& out) {
  if (!root.Has("limits")) return;
  const Section limits = root.Table("limits");
  limits.Allow({"watchdog_s", "reconnect_s", "message_bytes", "requests_per_client", "remember_s",
                "remember_requests", "remember_bytes"});
  // RFC 3539, section 3.4.1: no less than six seconds.
  out.watchdog = limits.Number("watchdog_s", 6, 600, out.watchdog / kSecond) * kSecond;
  out.reconnect = limits.Number("reconnect_s", 1, 600, out.reconnect / kSecond) * kSecond;
  out.max_message_bytes = static_cast<std::size_t>(limits.Number("message_bytes", 1024, 1 << 20, 65'536));
  out.max_pending_requests = static_cast<std::size_t>(limits.Number("requests_per_client", 1, 65'536, 1'024));
  // RFC 6733, section 3: ids stay unique for four minutes at least.
  out.recall.keep = limits.Number("remember_s", 240, 86'400, out.recall.keep / kSecond) * kSecond;
  out.recall.entries = static_cast<std::size_t>(limits.Number("remember_requests", 1, 1 << 24, 65'536));
  out.recall.bytes = static_cast<std::size_t>(limits.Number("remember_bytes", 0, 1 << 30, 16 << 20));
}

Mandatory MandatoryOf(const Section& avp) {
  const std::string word = avp.Text("mandatory", "may");
  if (word == "must") return Mandatory::kMust;
  if (word == "may") return Mandatory::kMay;
  if (word != "must not") avp.Reject("mandatory", "one of 'must', 'may' and 'must not' is needed");
  return Mandatory::kMustNot;
}

void ReadAvps(const Section& root, Application& out) {
  for (const Section& avp : root.Tables("avp")) {
    avp.Allow({"name", "code", "vendor", "format", "mandatory"});
    AvpRule rule;
    rule.name = avp.Text("name");
    rule.code = static_cast<std::uint32_t>(avp.Number("code", 1, kMostCode));
    rule.vendor = static_cast<std::uint32_t>(avp.Number("vendor", 0, kMostCode, 0));
    const auto format = FormatOf(avp.Text("format"));
    if (!format) avp.Reject("format", "'" + avp.Text("format") + "' is none of RFC 6733's");
    rule.format = *format;
    rule.mandatory = MandatoryOf(avp);
    if (!out.dictionary.Add(rule)) avp.Reject("name", "this name or code is taken by another AVP");
  }
}

class CommandReader {
 public:
  CommandReader(const Section& section, const Settings& settings, Application& out)
      : section_(section), settings_(settings), out_(out) {}

  void Read() {
    section_.Allow({"name", "code", "class", "class_avp", "tenant_avp", "object_avp", "key_avp",
                    "deadline_avp", "id_avp"});
    map_.code = static_cast<std::uint32_t>(section_.Number("code", 256, kMostCommand));
    rule_.name = section_.Text("name");
    rule_.code = map_.code;
    rule_.application = out_.id;
    rule_.proxiable = true;
    rule_.request = {{avp::kSessionId, 0, 0, 1},
                     {avp::kOriginHost, 0, 1, 1},
                     {avp::kOriginRealm, 0, 1, 1},
                     {avp::kDestinationRealm, 0, 1, 1},
                     {avp::kDestinationHost, 0, 0, 1}};
    ReadClass();
    map_.tenant = Named("tenant_avp", {Format::kUtf8, Format::kOctets, Format::kIdentity}, 0);
    map_.object = Named("object_avp", {Format::kUtf8, Format::kOctets}, 0);
    map_.idempotency = Named("key_avp", {Format::kUtf8, Format::kOctets}, 0);
    map_.deadline = Named("deadline_avp", {Format::kUnsigned32}, 0);
    map_.id = Named("id_avp", {Format::kUtf8, Format::kOctets}, 0);
    if (!out_.dictionary.Add(rule_)) section_.Reject("code", "this command stands there twice");
    out_.commands.push_back(map_);
  }

 private:
  void ReadClass() {
    if (section_.Has("class") == section_.Has("class_avp"))
      section_.Reject("code", "either class or class_avp is needed");
    if (section_.Has("class_avp")) {
      map_.class_name = Named("class_avp", {Format::kUtf8, Format::kOctets}, 1);
      return;
    }
    map_.fixed_class = section_.Text("class");
    if (core::ClassIndex(settings_, map_.fixed_class) < 0)
      section_.Reject("class", "'" + map_.fixed_class + "' is no class of the settings");
  }

  AvpId Named(std::string_view key, std::initializer_list<Format> formats, std::size_t least) {
    if (!section_.Has(key)) return {};
    const std::string name = section_.Text(key);
    const AvpRule* const rule = out_.dictionary.FindAvp(name);
    if (rule == nullptr) section_.Reject(key, "no AVP is named '" + name + "'");
    if (std::find(formats.begin(), formats.end(), rule->format) == formats.end())
      section_.Reject(key, "'" + name + "' has a format that can't say this");
    rule_.request.push_back({rule->code, rule->vendor, least, 1});
    return {rule->code, rule->vendor};
  }

  const Section& section_;
  const Settings& settings_;
  Application& out_;
  CommandMapping map_;
  CommandRule rule_;
};

// What no command could be sent with: a keyed class and no AVP for the key.
void CheckKeys(const Section& root, const Settings& settings, const Application& out) {
  const auto keyed = [](const RequestClass& c) { return c.retry_safety == RetrySafety::kDeduplicated; };
  for (std::size_t i = 0; i < out.commands.size(); ++i) {
    const CommandMapping& map = out.commands[i];
    if (map.idempotency) continue;
    const bool needs =
        map.fixed_class.empty()
            ? std::any_of(settings.classes.begin(), settings.classes.end(), keyed)
            : keyed(settings.classes[static_cast<std::size_t>(core::ClassIndex(settings, map.fixed_class))]);
    if (needs) root.Tables("command")[i].Reject("code", "key_avp is missing, and a class of its needs a key");
  }
}

Application Read(const toml::table& file, const Settings& settings, std::string_view name) {
  const Section root(file, "");
  root.Allow({"version", "node", "tls", "client", "servers", "limits", "application", "avp", "command"});
  root.Number("version", kVersion, kVersion);
  Application out;
  ReadNode(root, name, out);
  ReadTls(root, out);
  ReadPeers(root, out);
  ReadLimits(root, out);
  const Section application = root.Table("application");
  application.Allow({"id"});
  out.id = static_cast<std::uint32_t>(application.Number("id", 1, kMostCode - 1));
  ReadAvps(root, out);
  for (const Section& command : root.Tables("command")) CommandReader(command, settings, out).Read();
  if (out.commands.empty()) throw Wrong({}, "no [[command]]: no request could be read");
  CheckKeys(root, settings, out);
  return out;
}

std::string OneLine(std::string_view text) {
  std::string out(text);
  std::replace(out.begin(), out.end(), '\n', ' ');
  return out;
}

}  // namespace

std::variant<Application, std::string> ParseApplication(std::string_view text, const std::string& file,
                                                        const Settings& settings, std::string_view name) {
  try {
    return Read(toml::parse(text, file), settings, name);
  } catch (const toml::parse_error& error) {
    const auto& at = error.source().begin;
    return file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
           OneLine(error.description());
  } catch (const Wrong& error) {
    return file + ":" + OneLine(error.what());
  }
}

}  // namespace merlinrun::diameter
