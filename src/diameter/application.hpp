// The operator's file that switches Diameter on (TOML): who this node is, who may connect, which servers can
// be reached how, and how a request's class, tenant, keys and deadline are found in its AVPs. Read once, at
// the start; what is wrong with it is told in one line with the place where it stands.
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

// Where an AVP of interest stands; a code of 0: the command has none.
struct AvpId {
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;
  explicit operator bool() const { return code != 0; }
};

// How the requests of one command are read.
struct CommandMapping {
  std::uint32_t code = 0;
  std::string fixed_class;  // the class of all of them; empty: `class_name` says it
  AvpId class_name;
  AvpId tenant;
  AvpId object;       // what it concerns, as HTTP's `obj`
  AvpId idempotency;  // what servers drop repeats by, as HTTP's Idempotency-Key
  AvpId deadline;     // milliseconds that the client waits, from when it sent the request (Unsigned32)
  AvpId id;           // the request's id over HTTP too, as HTTP's Req-Id; see docs/design/diameter.md
};

struct AllowedClient {
  std::string host;  // its Origin-Host
  bool tls = false;  // it may come over TLS alone, with a certificate of that name
};

struct TlsFiles {
  std::string certificate;  // PEM, this node's, with what signed it
  std::string key;          // PEM
  std::string authorities;  // PEM, of those who sign peers' certificates
};

struct Application {
  std::string host;        // this node's Origin-Host
  std::string realm;       // its Origin-Realm
  std::string listen;      // "127.0.0.1:3868"; empty: no port without TLS
  std::string tls_listen;  // the same with TLS; empty: none
  TlsFiles tls;
  std::vector<std::string> realms;  // that requests may be for
  std::vector<AllowedClient> clients;
  std::string server_host;   // the Origin-Host of a server; {id} stands for its instance id
  bool servers_tls = false;  // servers are dialled with TLS
  Micros watchdog = 30'000'000;
  Micros reconnect = 30'000'000;
  std::size_t max_message_bytes = 65'536;    // bytes
  std::size_t max_pending_requests = 1'024;  // under way for one client
  DuplicateCache::Limits recall;
  std::uint32_t id = 0;  // Auth-Application-Id
  Dictionary dictionary = Dictionary::Base();
  std::vector<CommandMapping> commands;

  const CommandMapping* FindCommand(std::uint32_t code) const;
  // The Origin-Host of the server that discovery lists under this id.
  std::string ServerHost(std::string_view server) const;
};

// Reads the file's text. `settings` names the classes that a command may be fixed to; `name` is the sidecar's
// own, which {name} stands for in [node] host. On failure one line: "FILE:LINE:COLUMN: what is wrong".
std::variant<Application, std::string> ParseApplication(std::string_view text, const std::string& file,
                                                        const Settings& settings, std::string_view name);

// A request as its AVPs say it.
struct RequestInfo {
  int request_class = -1;
  int tenant = -1;
  std::optional<Micros> deadline;
  std::string object;
  std::string id;  // empty: none was given
};

// Checks a request of this application (command, AVPs, class, key as the class needs it) and reads it.
std::variant<RequestInfo, MessageError> ReadRequest(const Application& application, const Settings& settings,
                                                    const Message& request);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_APPLICATION_HPP_
