// The Diameter settings file (TOML): this node's identity, the allowed clients, how servers are reached, and
// which AVPs hold a request's class, tenant, keys and deadline. Read once, at startup; errors are reported in
// one line with their position.
#ifndef MERLINRUN_DIAMETER_APPLICATION_HPP_
#define MERLINRUN_DIAMETER_APPLICATION_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "diameter/dictionary.hpp"
#include "diameter/duplicate_cache.hpp"
#include "diameter/messages.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::diameter {

// Identifies an AVP; code 0 means that the command has none.
struct AvpId {
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;
  explicit operator bool() const { return code != 0; }
};

// Maps the AVPs of a command's requests to the fields that the balancer uses.
struct CommandMapping {
  std::uint32_t code = 0;
  std::string fixed_class;  // class of all requests; empty: read from `class_name`
  AvpId class_name;
  AvpId tenant;
  AvpId object;       // what the request is about, as HTTP's `obj`
  AvpId idempotency;  // idempotency key, as HTTP's Idempotency-Key
  AvpId deadline;  // milliseconds that the client waits for the answer, from sending the request (Unsigned32)
  AvpId id;        // request id shared with HTTP's Req-Id; see docs/design/diameter.md
};

struct AllowedClient {
  std::string host;  // Origin-Host
  bool tls = false;  // only accepted over TLS, with a certificate for `host`
};

struct TlsFiles {
  std::string certificate;  // PEM, this node's certificate chain
  std::string key;          // PEM
  std::string authorities;  // PEM, CA certificates for peers
};

struct Application {
  std::string host;        // this node's Origin-Host
  std::string realm;       // its Origin-Realm
  std::string listen;      // "127.0.0.1:3868"; empty: no plaintext port
  std::string tls_listen;  // the same for TLS; empty: no TLS port
  TlsFiles tls;
  std::vector<std::string> realms;  // Destination-Realms served
  std::vector<AllowedClient> clients;
  std::string server_host;   // Origin-Host of a server; {id} is replaced by its instance id
  bool servers_tls = false;  // connections to servers use TLS
  Micros watchdog_interval = 30'000'000;
  Micros max_reconnect_delay = 30'000'000;
  std::size_t max_message_bytes = 65'536;
  std::size_t max_pending_requests = 1'024;  // concurrent requests per client
  DuplicateCache::Limits duplicate_limits;
  std::uint32_t id = 0;  // Auth-Application-Id
  Dictionary dictionary = Dictionary::Base();
  std::vector<CommandMapping> commands;

  const CommandMapping* FindCommand(std::uint32_t code) const;
  // The Origin-Host of the server with this id in discovery.
  std::string ServerHost(std::string_view server) const;
};

// Parses the file's text. `settings` lists the classes that a command may be mapped to; `name` is the
// sidecar's name, which replaces {name} in [node] host. On failure returns one line: "FILE:LINE:COLUMN:
// reason".
std::variant<Application, std::string> ParseApplication(std::string_view text, const std::string& file,
                                                        const Settings& settings, std::string_view name);

// What is read from a request's AVPs.
struct RequestInfo {
  int request_class = -1;
  int tenant = -1;
  std::optional<Micros> deadline;
  std::string object;
  std::string id;  // empty if absent
};

// Validates a request of this application (command, AVPs, class, idempotency key) and reads it.
std::variant<RequestInfo, MessageError> ReadRequest(const Application& application, const Settings& settings,
                                                    const Message& request);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_APPLICATION_HPP_
