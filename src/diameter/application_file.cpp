// Schema and parser of the Diameter settings file.
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
constexpr std::int64_t kMaxCode = 0xffffffff;
constexpr std::int64_t kMaxCommandCode = 0xffffff;
constexpr Micros kSecond = 1'000'000;

// Position and reason of an error; caught in ParseApplication.
class SchemaError : public std::runtime_error {
 public:
  SchemaError(const toml::source_region& where, const std::string& what)
      : std::runtime_error(std::to_string(where.begin.line) + ":" + std::to_string(where.begin.column) +
                           ": " + what) {}
};

// A table of the file. Unknown keys are errors, so that a misspelled limit isn't ignored.
class Section {
 public:
  Section(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

  void RejectUnknownKeys(std::initializer_list<std::string_view> keys) const {
    for (const auto& [key, value] : table_)
      if (std::find(keys.begin(), keys.end(), key.str()) == keys.end())
        throw SchemaError(value.source(), "unknown setting '" + Path(key.str()) + "'");
  }
  const toml::node* Get(std::string_view key) const { return table_.get(key); }
  bool Has(std::string_view key) const { return Get(key) != nullptr; }

  std::string Text(std::string_view key) const {
    const toml::node& node = Required(key);
    const auto value = node.value_exact<std::string>();
    if (!value || value->empty()) throw SchemaError(node.source(), Path(key) + ": a text is needed");
    return *value;
  }
  std::string Text(std::string_view key, const std::string& default_value) const {
    return Has(key) ? Text(key) : default_value;
  }
  std::string Identity(std::string_view key) const {
    std::string value = Text(key);
    if (!IsValidData(Format::kIdentity, value)) Reject(key, "'" + value + "' is no DiameterIdentity");
    return value;
  }
  bool Flag(std::string_view key, bool default_value) const {
    if (!Has(key)) return default_value;
    const auto value = Required(key).value_exact<bool>();
    if (!value) Reject(key, "true or false is needed");
    return *value;
  }
  std::int64_t Number(std::string_view key, std::int64_t min_value, std::int64_t max_value) const {
    const auto value = Required(key).value_exact<std::int64_t>();
    if (!value || *value < min_value || *value > max_value)
      Reject(key, "a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value) +
                      " is needed");
    return *value;
  }
  std::int64_t Number(std::string_view key, std::int64_t min_value, std::int64_t max_value,
                      std::int64_t default_value) const {
    return Has(key) ? Number(key, min_value, max_value) : default_value;
  }
  std::vector<std::string> Identities(std::string_view key) const {
    const toml::array* const list = Required(key).as_array();
    std::vector<std::string> out;
    if (list != nullptr)
      for (const toml::node& item : *list) out.push_back(item.value_exact<std::string>().value_or(""));
    const auto bad = [](const std::string& item) { return !IsValidData(Format::kIdentity, item); };
    if (out.empty() || std::any_of(out.begin(), out.end(), bad)) Reject(key, "a list of names is needed");
    return out;
  }
  Section Table(std::string_view key) const {
    const toml::table* const table = Required(key).as_table();
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
    throw SchemaError(Required(key).source(), Path(key) + ": " + what);
  }

 private:
  std::string Path(std::string_view key) const {
    return name_.empty() ? std::string(key) : name_ + "." + std::string(key);
  }
  const toml::node& Required(std::string_view key) const {
    const toml::node* const node = Get(key);
    if (node == nullptr) throw SchemaError(table_.source(), "'" + Path(key) + "' is missing");
    return *node;
  }

  const toml::table& table_;
  std::string name_;
};

void Replace(std::string& text, std::string_view pattern, std::string_view replacement) {
  if (const auto at = text.find(pattern); at != std::string::npos)
    text.replace(at, pattern.size(), replacement);
}

void ReadNode(const Section& root, std::string_view name, Application& out) {
  const Section node = root.Table("node");
  node.RejectUnknownKeys({"host", "realm", "listen", "tls_listen", "realms"});
  out.host = node.Text("host");
  Replace(out.host, "{name}", name);
  if (!IsValidData(Format::kIdentity, out.host))
    node.Reject("host", "'" + out.host + "' is no DiameterIdentity");
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
    tls.RejectUnknownKeys({"certificate", "key", "authorities"});
    out.tls = {tls.Text("certificate"), tls.Text("key"), tls.Text("authorities")};
    return;
  }
  if (!out.tls_listen.empty()) root.Table("node").Reject("tls_listen", "there is no [tls] with certificates");
}

void ReadPeers(const Section& root, Application& out) {
  for (const Section& client : root.Tables("client")) {
    client.RejectUnknownKeys({"host", "tls"});
    const std::string host = client.Identity("host");
    const bool known = std::any_of(out.clients.begin(), out.clients.end(),
                                   [&](const AllowedClient& rule) { return SameName(rule.host, host); });
    if (known) client.Reject("host", "'" + host + "' stands there twice");
    const bool tls = client.Flag("tls", !out.tls_listen.empty());
    if (tls && out.tls_listen.empty()) client.Reject("tls", "there is no tls_listen");
    if (!tls && out.listen.empty()) client.Reject("host", "it may come without TLS, and there is no listen");
    out.clients.push_back({host, tls});
  }
  if (out.clients.empty()) throw SchemaError({}, "no [[client]]: nobody could connect");
  const Section servers = root.Table("servers");
  servers.RejectUnknownKeys({"host", "tls"});
  out.server_host = servers.Text("host");
  const std::string example = out.ServerHost("s-1");
  if (example == out.server_host || !IsValidData(Format::kIdentity, example))
    servers.Reject("host", "a DiameterIdentity with {id} in it is needed");
  out.servers_tls = servers.Flag("tls", false);
  if (out.servers_tls && out.tls.certificate.empty())
    servers.Reject("tls", "there is no [tls] with certificates");
}

void ReadLimits(const Section& root, Application& out) {
  if (!root.Has("limits")) return;
  const Section limits = root.Table("limits");
  limits.RejectUnknownKeys({"watchdog_s", "reconnect_s", "message_bytes", "requests_per_client", "remember_s",
                            "remember_requests", "remember_bytes"});
  // RFC 3539, section 3.4.1: at least six seconds.
  out.watchdog_interval = limits.Number("watchdog_s", 6, 600, out.watchdog_interval / kSecond) * kSecond;
  out.max_reconnect_delay = limits.Number("reconnect_s", 1, 600, out.max_reconnect_delay / kSecond) * kSecond;
  out.max_message_bytes = static_cast<std::size_t>(limits.Number("message_bytes", 1024, 1 << 20, 65'536));
  out.max_pending_requests = static_cast<std::size_t>(limits.Number("requests_per_client", 1, 65'536, 1'024));
  // RFC 6733, section 3: end-to-end ids are unique for at least four minutes.
  out.duplicate_limits.ttl =
      limits.Number("remember_s", 240, 86'400, out.duplicate_limits.ttl / kSecond) * kSecond;
  out.duplicate_limits.max_entries =
      static_cast<std::size_t>(limits.Number("remember_requests", 1, 1 << 24, 65'536));
  out.duplicate_limits.max_answer_bytes =
      static_cast<std::size_t>(limits.Number("remember_bytes", 0, 1 << 30, 16 << 20));
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
    avp.RejectUnknownKeys({"name", "code", "vendor", "format", "mandatory"});
    AvpRule rule;
    rule.name = avp.Text("name");
    rule.code = static_cast<std::uint32_t>(avp.Number("code", 1, kMaxCode));
    rule.vendor = static_cast<std::uint32_t>(avp.Number("vendor", 0, kMaxCode, 0));
    const auto format = ParseFormat(avp.Text("format"));
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
    section_.RejectUnknownKeys({"name", "code", "class", "class_avp", "tenant_avp", "object_avp", "key_avp",
                                "deadline_avp", "id_avp"});
    mapping_.code = static_cast<std::uint32_t>(section_.Number("code", 256, kMaxCommandCode));
    rule_.name = section_.Text("name");
    rule_.code = mapping_.code;
    rule_.application = out_.id;
    rule_.proxiable = true;
    rule_.request = {{avp::kSessionId, 0, 0, 1},
                     {avp::kOriginHost, 0, 1, 1},
                     {avp::kOriginRealm, 0, 1, 1},
                     {avp::kDestinationRealm, 0, 1, 1},
                     {avp::kDestinationHost, 0, 0, 1}};
    ReadClass();
    mapping_.tenant = FindAvpId("tenant_avp", {Format::kUtf8, Format::kOctets, Format::kIdentity}, 0);
    mapping_.object = FindAvpId("object_avp", {Format::kUtf8, Format::kOctets}, 0);
    mapping_.idempotency = FindAvpId("key_avp", {Format::kUtf8, Format::kOctets}, 0);
    mapping_.deadline = FindAvpId("deadline_avp", {Format::kUnsigned32}, 0);
    mapping_.id = FindAvpId("id_avp", {Format::kUtf8, Format::kOctets}, 0);
    if (!out_.dictionary.Add(rule_)) section_.Reject("code", "this command stands there twice");
    out_.commands.push_back(mapping_);
  }

 private:
  void ReadClass() {
    if (section_.Has("class") == section_.Has("class_avp"))
      section_.Reject("code", "either class or class_avp is needed");
    if (section_.Has("class_avp")) {
      mapping_.class_name = FindAvpId("class_avp", {Format::kUtf8, Format::kOctets}, 1);
      return;
    }
    mapping_.fixed_class = section_.Text("class");
    if (core::ClassIndex(settings_, mapping_.fixed_class) < 0)
      section_.Reject("class", "'" + mapping_.fixed_class + "' is no class of the settings");
  }

  AvpId FindAvpId(std::string_view key, std::initializer_list<Format> formats, std::size_t min_count) {
    if (!section_.Has(key)) return {};
    const std::string name = section_.Text(key);
    const AvpRule* const rule = out_.dictionary.FindAvp(name);
    if (rule == nullptr) section_.Reject(key, "no AVP is named '" + name + "'");
    if (std::find(formats.begin(), formats.end(), rule->format) == formats.end())
      section_.Reject(key, "'" + name + "' has a format that can't say this");
    rule_.request.push_back({rule->code, rule->vendor, min_count, 1});
    return {rule->code, rule->vendor};
  }

  const Section& section_;
  const Settings& settings_;
  Application& out_;
  CommandMapping mapping_;
  CommandRule rule_;
};

// Rejects a command with a deduplicated class and no AVP for the idempotency key.
void CheckKeys(const Section& root, const Settings& settings, const Application& out) {
  const auto keyed = [](const RequestClass& c) { return c.retry_safety == RetrySafety::kDeduplicated; };
  for (std::size_t i = 0; i < out.commands.size(); ++i) {
    const CommandMapping& mapping = out.commands[i];
    if (mapping.idempotency) continue;
    const bool needs =
        mapping.fixed_class.empty()
            ? std::any_of(settings.classes.begin(), settings.classes.end(), keyed)
            : keyed(settings
                        .classes[static_cast<std::size_t>(core::ClassIndex(settings, mapping.fixed_class))]);
    if (needs) root.Tables("command")[i].Reject("code", "key_avp is missing, and a class of its needs a key");
  }
}

Application Read(const toml::table& file, const Settings& settings, std::string_view name) {
  const Section root(file, "");
  root.RejectUnknownKeys(
      {"version", "node", "tls", "client", "servers", "limits", "application", "avp", "command"});
  root.Number("version", kVersion, kVersion);
  Application out;
  ReadNode(root, name, out);
  ReadTls(root, out);
  ReadPeers(root, out);
  ReadLimits(root, out);
  const Section application = root.Table("application");
  application.RejectUnknownKeys({"id"});
  out.id = static_cast<std::uint32_t>(application.Number("id", 1, kMaxCode - 1));
  ReadAvps(root, out);
  for (const Section& command : root.Tables("command")) CommandReader(command, settings, out).Read();
  if (out.commands.empty()) throw SchemaError({}, "no [[command]]: no request could be read");
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
  } catch (const SchemaError& error) {
    return file + ":" + OneLine(error.what());
  }
}

}  // namespace merlinrun::diameter
