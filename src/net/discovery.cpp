#include "discovery.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/backoff.hpp"

namespace merlinrun::net {
namespace {

constexpr std::size_t kMaxLineBytes = std::size_t{4} * 1024 * 1024;  // about 20,000 servers
constexpr std::int64_t kMaxUnixMs = std::int64_t{1} << 49;  // the balancer requires times under 2^60 us

std::optional<ServerInfo::State> ParseLifecycle(const std::string& word) {
  if (word == "up") return ServerInfo::State::kHealthy;
  if (word == "draining") return ServerInfo::State::kDraining;
  if (word == "removed") return ServerInfo::State::kGone;
  return std::nullopt;
}

Endpoint ParseEntry(const nlohmann::json& json, const drill::WireSettings& names, std::string& error) {
  Endpoint out;
  out.info.id = json.at("instanceId").get<std::string>();
  if (out.info.id.empty()) error = "empty instanceId";
  const auto state = ParseLifecycle(json.at("lifecycle").get<std::string>());
  if (!state) error = "unknown lifecycle";
  out.info.state = state.value_or(ServerInfo::State::kGone);
  const auto address = ParseAddress(json.value("hostPort", std::string()));
  if (!address && out.info.state != ServerInfo::State::kGone) error = "hostPort is not an address";
  out.address = address.value_or(Tcp::endpoint());
  if (json.contains("diameterHostPort")) {
    out.diameter = ParseAddress(json.at("diameterHostPort").get<std::string>());
    if (!out.diameter) error = "diameterHostPort is not an address";
  }
  out.info.zone = drill::IndexOf(names.zones, json.value("zone", std::string()));
  out.info.machine_type = drill::IndexOf(names.machines, json.value("machineType", std::string()));
  out.info.cell = json.value("cell", std::int64_t{-1});
  out.info.weight = json.value("weight", 1.0);
  const auto started = json.value("startedAtMs", std::int64_t{0});
  if (started < 0 || started > kMaxUnixMs) error = "startedAtMs is out of range";
  out.info.started = std::clamp<std::int64_t>(started, 0, kMaxUnixMs) * 1000;
  return out;
}

}  // namespace

std::optional<EndpointList> ParseEndpointList(const nlohmann::json& json, const drill::WireSettings& names,
                                              std::string& error) {
  error.clear();
  try {
    EndpointList list;
    list.generation = json.at("generation").get<std::int64_t>();
    list.is_full = json.at("reset").get<bool>();
    for (const nlohmann::json& entry : json.at("instances"))
      list.endpoints.push_back(ParseEntry(entry, names, error));
    if (error.empty()) return list;
  } catch (const nlohmann::json::exception& parse_error) {  // a missing member or a wrong type
    error = parse_error.what();
  }
  return std::nullopt;
}

// One connection to discovery. Reports its end once, unless it is stopped first.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Discovery& owner) : owner_(&owner), tcp_(owner.io_) {}

  void Connect() {
    request_.method(http::verb::get);
    wants_full_list_ = owner_->generation_ == kUnknownGeneration;
    request_.target(wants_full_list_ ? "/v1/endpoints"
                                     : "/v1/endpoints?stream=1&index=" + std::to_string(owner_->generation_));
    request_.set(http::field::host, "discovery");
    ExpectProgress();
    tcp_.async_connect(owner_->address_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(error.message());
      self->SendRequest();
    });
  }

  void Stop() {
    owner_ = nullptr;
    tcp_.close();
  }

 private:
  // Detects an unreachable discovery server whose connection stays open without data.
  void ExpectProgress() { tcp_.expires_after(std::chrono::microseconds(owner_->timing_.silence_timeout)); }

  void SendRequest() {
    http::async_write(tcp_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->End(error.message());
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    if (owner_ == nullptr) return;
    // A watch is endless. Not boost::none: with that Boost 1.74 rejects any Content-Length.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(tcp_, buffer_, parser_,
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (error) return self->End(error.message());
                              if (self->parser_.get().result() != http::status::ok)
                                return self->End("response status is not 200");
                              self->ReadBody();
                            });
  }

  void ReadBody() {
    if (owner_ == nullptr) return;
    if (parser_.is_done()) return OnBodyEnd();
    ExpectProgress();
    auto& body = parser_.get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    body.more = true;
    http::async_read_some(tcp_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error == http::error::need_buffer) error = {};
      if (error) return self->End(error.message());
      self->ProcessChunk();
    });
  }

  // After a full list the watch is opened; a watch should not end.
  void OnBodyEnd() {
    if (!wants_full_list_) return End("the watch ended");
    Discovery* const owner = owner_;
    if (!line_.empty()) owner->OnLine(line_);
    if (owner_ == nullptr) return;  // the list was invalid
    if (owner->generation_ == kUnknownGeneration) return End("empty list response", true);
    owner_ = nullptr;
    tcp_.close();
    owner->Connect();
  }

  void ProcessChunk() {
    line_.append(chunk_.data(), chunk_.size() - parser_.get().body().size);
    std::size_t begin = 0;
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', begin)) {
      const std::string line = line_.substr(begin, end - begin);
      begin = end + 1;
      if (owner_ != nullptr && line.find_first_not_of(" \r") != std::string::npos) owner_->OnLine(line);
      if (owner_ == nullptr) return;
    }
    line_.erase(0, begin);
    if (line_.size() > kMaxLineBytes) return End("line too long", true);
    ReadBody();
  }

  void End(const std::string& reason, bool bad_input = false) {
    if (owner_ == nullptr) return;
    Discovery* const owner = std::exchange(owner_, nullptr);
    tcp_.close();
    owner->OnStreamEnded(reason, bad_input);
  }

  Discovery* owner_;  // null after the end
  beast::tcp_stream tcp_;
  beast::flat_buffer buffer_{kMaxUnparsed};
  http::request<http::empty_body> request_;
  http::response_parser<http::buffer_body> parser_;
  std::array<char, kReadSize> chunk_{};
  std::string line_;
  bool wants_full_list_ = false;  // instead of a watch
};

Discovery::Discovery(asio::io_context& io, Tcp::endpoint address, const drill::WireSettings& names,
                     Timing timing, std::uint64_t seed, Events events)
    : io_(io),
      address_(std::move(address)),
      names_(names),
      timing_(timing),
      events_(std::move(events)),
      random_(seed),
      backoff_(io) {}

Discovery::~Discovery() {
  if (stream_ != nullptr) stream_->Stop();
}

void Discovery::Watch(std::int64_t generation) {
  if (stream_ != nullptr) return;
  generation_ = generation;
  Connect();
}

void Discovery::SetAddress(const Tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  generation_ = kUnknownGeneration;
  failures_ = 0;
  bad_input_logged_ = false;
  if (stream_ != nullptr) std::exchange(stream_, nullptr)->Stop();
  backoff_.cancel();
  Connect();
}

void Discovery::Connect() {
  stream_ = std::make_shared<Stream>(*this);
  stream_->Connect();
}

void Discovery::OnLine(const std::string& line) {
  std::string error = "invalid JSON";
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  const auto list = json.is_discarded() ? std::nullopt : ParseEndpointList(json, names_, error);
  if (list && !IsApplicable(*list)) {
    generation_ = kUnknownGeneration;
    std::exchange(stream_, nullptr)->Stop();
    return OnStreamEnded("lower generation than the current list", /*bad_input=*/true);
  }
  if (!list) {
    std::exchange(stream_, nullptr)->Stop();
    return OnStreamEnded(error, /*bad_input=*/true);
  }
  failures_ = 0;
  bad_input_logged_ = false;
  generation_ = list->generation;
  events_.on_list(*list);
}

// Changes apply to the list before them. A lower generation means that discovery has restarted, so its
// changes do not apply to the current list.
bool Discovery::IsApplicable(const EndpointList& list) const {
  return list.is_full || (generation_ != kUnknownGeneration && list.generation >= generation_);
}

void Discovery::OnStreamEnded(const std::string& reason, bool bad_input) {
  stream_ = nullptr;
  if (bad_input &&
      !std::exchange(bad_input_logged_, true))  // once, as the error may repeat at every reconnect
    std::fprintf(stderr, "discovery: keeping the current server list: %.200s\n", reason.c_str());
  events_.on_failed();
  if (!timing_.auto_reconnect) return;
  // The jitter avoids a thundering herd when discovery comes back.
  const Micros max_delay = ExponentialBackoff(timing_.backoff_base, failures_++, timing_.backoff_max);
  backoff_.expires_after(
      std::chrono::microseconds(std::uniform_int_distribution<Micros>(0, max_delay)(random_)));
  backoff_.async_wait([this](ErrorCode error) {
    if (!error && stream_ == nullptr) Connect();
  });
}

}  // namespace merlinrun::net
