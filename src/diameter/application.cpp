#include "diameter/application.hpp"

#include <algorithm>
#include <cctype>

#include "core/names.hpp"

namespace merlinrun::diameter {
namespace {

// The same limits on ids and keys as for HTTP.
constexpr std::size_t kMaxIdSize = 64;
constexpr std::size_t kMaxKeySize = 128;
constexpr std::size_t kMaxObjectSize = 1024;
constexpr Micros kMillisecond = 1000;

bool IsIdentifier(std::string_view text, std::size_t max_size) {
  return !text.empty() && text.size() <= max_size &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
         });
}

std::optional<Avp> FindMapped(const Message& request, const AvpId& avp_id) {
  return avp_id ? Find(request.avps, avp_id.code, avp_id.vendor) : std::nullopt;
}

MessageError Invalid(const Avp& avp, const char* text) {
  return {ResultCode::kInvalidAvpValue, AvpWriter().Copy(avp).Take(), text};
}

// A request must carry an idempotency key exactly if its class is deduplicated, so that no client relies on a
// key that servers ignore.
std::optional<MessageError> CheckIdempotencyKey(const CommandMapping& mapping, RetrySafety safety,
                                                const Message& request) {
  const auto key = FindMapped(request, mapping.idempotency);
  if (safety != RetrySafety::kDeduplicated) {
    if (!key) return std::nullopt;
    return MessageError{ResultCode::kAvpNotAllowed, AvpWriter().Copy(*key).Take(),
                        "a key that the class has no use for"};
  }
  if (!key)
    return MessageError{
        ResultCode::kMissingAvp,
        AvpWriter().Add(mapping.idempotency.code, "", kMandatoryBit, mapping.idempotency.vendor).Take(),
        "the class needs a key"};
  if (!IsIdentifier(key->data, kMaxKeySize)) return Invalid(*key, "the key is no name");
  return std::nullopt;
}

}  // namespace

const CommandMapping* Application::FindCommand(std::uint32_t code) const {
  const auto it = std::find_if(commands.begin(), commands.end(),
                               [&](const CommandMapping& mapping) { return mapping.code == code; });
  return it == commands.end() ? nullptr : &*it;
}

std::string Application::ServerHost(std::string_view server) const {
  constexpr std::string_view kPlaceholder = "{id}";
  std::string out = server_host;
  if (const auto at = out.find(kPlaceholder); at != std::string::npos)
    out.replace(at, kPlaceholder.size(), server);
  return out;
}

std::variant<RequestInfo, MessageError> ReadRequest(const Application& application, const Settings& settings,
                                                    const Message& request) {
  if (request.header.application != application.id)
    return MessageError{ResultCode::kApplicationUnsupported, {}, "an application that is not served here"};
  const CommandMapping* const mapping = application.FindCommand(request.header.command);
  if (mapping == nullptr) return MessageError{ResultCode::kCommandUnsupported, {}, "an unknown command"};
  const CommandRule& rule = *application.dictionary.FindCommand(mapping->code, application.id);
  if (auto fault = ValidateMessage(request, application.dictionary, rule, NodeRole::kRelay)) return *fault;

  RequestInfo out;
  const auto class_name = FindMapped(request, mapping->class_name);
  out.request_class = core::ClassIndex(settings, class_name ? class_name->data : mapping->fixed_class);
  if (out.request_class < 0) return Invalid(*class_name, "an unknown class");
  const RequestClass& class_settings = settings.classes[static_cast<std::size_t>(out.request_class)];
  if (auto fault = CheckIdempotencyKey(*mapping, class_settings.retry_safety, request)) return *fault;
  if (const auto tenant = FindMapped(request, mapping->tenant))
    out.tenant = core::TenantIndex(settings, tenant->data);
  if (const auto object = FindMapped(request, mapping->object)) {
    if (object->data.size() > kMaxObjectSize)
      return Invalid(*object, "what the request concerns is too long");
    out.object = std::string(object->data);
  }
  if (const auto deadline = FindMapped(request, mapping->deadline)) {
    const std::uint32_t milliseconds = *ToU32(deadline->data);
    if (milliseconds == 0) return Invalid(*deadline, "no time to answer in");
    out.deadline = milliseconds * kMillisecond;
  }
  if (const auto id = FindMapped(request, mapping->id)) {
    if (!IsIdentifier(id->data, kMaxIdSize)) return Invalid(*id, "the id is no name");
    out.id = std::string(id->data);
  }
  return out;
}

}  // namespace merlinrun::diameter
