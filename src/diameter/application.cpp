#include "diameter/application.hpp"

#include <algorithm>
#include <cctype>

#include "core/names.hpp"

namespace merlinrun::diameter {
namespace {

// As over HTTP: what ids and keys may be made of, and how long they may be.
constexpr std::size_t kMostId = 64;
constexpr std::size_t kMostKey = 128;
constexpr std::size_t kMostObject = 1024;
constexpr Micros kMillisecond = 1000;

bool IsName(std::string_view text, std::size_t most) {
  return !text.empty() && text.size() <= most && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

std::optional<Avp> At(const Message& request, const AvpId& at) {
  return at ? Find(request.avps, at.code, at.vendor) : std::nullopt;
}

MessageError Invalid(const Avp& avp, const char* text) {
  return {ResultCode::kInvalidAvpValue, AvpWriter().Copy(avp).Take(), text};
}

// That the request carries a key if its class is keyed, and none else: guards against a client that believes
// its request safe to repeat where servers do not look at its key.
std::optional<MessageError> CheckKey(const CommandMapping& map, RetrySafety repeat, const Message& request) {
  const auto key = At(request, map.idempotency);
  if (repeat != RetrySafety::kDeduplicated) {
    if (!key) return std::nullopt;
    return MessageError{ResultCode::kAvpNotAllowed, AvpWriter().Copy(*key).Take(),
                        "a key that the class has no use for"};
  }
  if (!key)
    return MessageError{
        ResultCode::kMissingAvp,
        AvpWriter().Add(map.idempotency.code, "", kMandatoryBit, map.idempotency.vendor).Take(),
        "the class needs a key"};
  if (!IsName(key->data, kMostKey)) return Invalid(*key, "the key is no name");
  return std::nullopt;
}

}  // namespace

const CommandMapping* Application::FindCommand(std::uint32_t code) const {
  const auto it = std::find_if(commands.begin(), commands.end(),
                               [&](const CommandMapping& map) { return map.code == code; });
  return it == commands.end() ? nullptr : &*it;
}

std::string Application::ServerHost(std::string_view server) const {
  constexpr std::string_view kPlace = "{id}";
  std::string out = server_host;
  if (const auto at = out.find(kPlace); at != std::string::npos) out.replace(at, kPlace.size(), server);
  return out;
}

std::variant<RequestInfo, MessageError> ReadRequest(const Application& application, const Settings& settings,
                                                    const Message& request) {
  if (request.header.application != application.id)
    return MessageError{ResultCode::kApplicationUnsupported, {}, "an application that is not served here"};
  const CommandMapping* const map = application.FindCommand(request.header.command);
  if (map == nullptr) return MessageError{ResultCode::kCommandUnsupported, {}, "an unknown command"};
  const CommandRule& rule = *application.dictionary.FindCommand(map->code, application.id);
  if (auto fault = Check(request, application.dictionary, rule, Reader::kRelay)) return *fault;

  RequestInfo out;
  const auto class_name = At(request, map->class_name);
  out.request_class = core::ClassIndex(settings, class_name ? class_name->data : map->fixed_class);
  if (out.request_class < 0) return Invalid(*class_name, "an unknown class");
  const RequestClass& its_class = settings.classes[static_cast<std::size_t>(out.request_class)];
  if (auto fault = CheckKey(*map, its_class.retry_safety, request)) return *fault;
  if (const auto tenant = At(request, map->tenant)) out.tenant = core::TenantIndex(settings, tenant->data);
  if (const auto object = At(request, map->object)) {
    if (object->data.size() > kMostObject) return Invalid(*object, "what the request concerns is too long");
    out.object = std::string(object->data);
  }
  if (const auto deadline = At(request, map->deadline)) {
    const std::uint32_t told = *ToU32(deadline->data);
    if (told == 0) return Invalid(*deadline, "no time to answer in");
    out.deadline = told * kMillisecond;
  }
  if (const auto id = At(request, map->id)) {
    if (!IsName(id->data, kMostId)) return Invalid(*id, "the id is no name");
    out.id = std::string(id->data);
  }
  return out;
}

}  // namespace merlinrun::diameter
