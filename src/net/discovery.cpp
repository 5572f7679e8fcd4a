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

constexpr std::size_t kMostLine = std::size_t{4} * 1024 * 1024;  // some 20,000 servers
constexpr std::int64_t kMostUnixMs = std::int64_t{1} << 49;      // the module takes times under 2^60 us

std::optional<ServerInfo::State> ParseLifecycle(const std::string& word) {
  if (word == "up") return ServerInfo::State::kHealthy;
  if (word == "draining") return ServerInfo::State::kDraining;
  if (word == "removed") return ServerInfo::State::kGone;
  return std::nullopt;
}

Endpoint ParseEntry(const nlohmann::json& json, const drill::WireSettings& names, std::string& error) {
  Endpoint out;
  out.info.id = json.at("instanceId").get<std::string>();
  if (out.info.id.empty()) error = "an empty instanceId";
  const auto state = ParseLifecycle(json.at("lifecycle").get<std::string>());
  if (!state) error = "an unknown lifecycle";
  out.info.state = state.value_or(ServerInfo::State::kGone);
  const auto address = ParseAddress(json.value("hostPort", std::string()));
  if (!address && out.info.state != ServerInfo::State::kGone) error = "a hostPort that is no address";
  out.address = address.value_or(Tcp::endpoint());
  if (json.contains("diameterHostPort")) {
    out.diameter = ParseAddress(json.at("diameterHostPort").get<std::string>());
    if (!out.diameter) error = "a diameterHostPort that is no address";
  }
  out.info.zone = drill::IndexOf(names.zones, json.value("zone", std::string()));
  out.info.machine_type = drill::IndexOf(names.machines, json.value("machineType", std::string()));
  out.info.cell = json.value("cell", std::int64_t{-1});
  out.info.weight = json.value("weight", 1.0);
  const auto started = json.value("startedAtMs", std::int64_t{0});
  if (started < 0 || started > kMostUnixMs) error = "a startedAtMs out of range";
  out.info.started = std::clamp<std::int64_t>(started, 0, kMostUnixMs) * 1000;
  return out;
}

}  // namespace

std::optional<EndpointList> ParseList(const nlohmann::json& json, const drill::WireSettings& names,
                                      std::string& error) {
  error.clear();
  try {
    EndpointList list;
    list.generation = json.at("generation").get<std::int64_t>();
    list.whole = json.at("reset").get<bool>();
    for (const nlohmann::json& entry : json.at("instances"))
      list.endpoints.push_back(ParseEntry(entry, names, error));
    if (error.empty()) return list;
  } catch (const nlohmann::json::exception& wrong) {  // a member that is missing or of another type
    error = wrong.what();
  }
  return std::nullopt;
}

// One watch, from its connection to its end. Reports its end once, unless it is stopped first.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Discovery& owner) : owner_(&owner), tcp_(owner.io_) {}

  void Open() {
    request_.method(http::verb::get);
    whole_ = owner_->generation_ == kUnknown;
    request_.target(whole_ ? "/v1/endpoints"
                           : "/v1/endpoints?stream=1&index=" + std::to_string(owner_->generation_));
    request_.set(http::field::host, "discovery");
    ExpectProgress();
    tcp_.async_connect(owner_->address_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(error.message());
      self->Ask();
    });
  }

  void Stop() {
    owner_ = nullptr;
    tcp_.close();
  }

 private:
  // Guards against a discovery that is cut off: such a connection stays open and silent for ever.
  void ExpectProgress() { tcp_.expires_after(std::chrono::microseconds(owner_->timing_.silence)); }

  void Ask() {
    http::async_write(tcp_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->End(error.message());
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    if (owner_ == nullptr) return;
    // A watch has no end. Not boost::none: Boost 1.74 then takes any Content-Length for too long.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(tcp_, buffer_, parser_,
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (error) return self->End(error.message());
                              if (self->parser_.get().result() != http::status::ok)
                                return self->End("not answered with 200");
                              self->ReadBody();
                            });
  }

  void ReadBody() {
    if (owner_ == nullptr) return;
    if (parser_.is_done()) return OnBodyEnd();
    ExpectProgress();
    auto& body = parser_.get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    body.more = true;
    http::async_read_some(tcp_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error == http::error::need_buffer) error = {};
      if (error) return self->End(error.message());
      self->TakePiece();
    });
  }

  // A watch has no end of its own; a whole list has, and the watch follows upon it.
  void OnBodyEnd() {
    if (!whole_) return End("the watch ended");
    Discovery* const owner = owner_;
    if (!line_.empty()) owner->OnLine(line_);
    if (owner_ == nullptr) return;  // it could not be read
    if (owner->generation_ == kUnknown) return End("no list", true);
    owner_ = nullptr;
    tcp_.close();
    owner->Open();
  }

  void TakePiece() {
    line_.append(piece_.data(), piece_.size() - parser_.get().body().size);
    std::size_t begin = 0;
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', begin)) {
      const std::string line = line_.substr(begin, end - begin);
      begin = end + 1;
      if (owner_ != nullptr && line.find_first_not_of(" \r") != std::string::npos) owner_->OnLine(line);
      if (owner_ == nullptr) return;
    }
    line_.erase(0, begin);
    if (line_.size() > kMostLine) return End("a line without end", true);
    ReadBody();
  }

  void End(const std::string& reason, bool bad_input = false) {
    if (owner_ == nullptr) return;
    Discovery* const owner = std::exchange(owner_, nullptr);
    tcp_.close();
    owner->OnEnd(reason, bad_input);
  }

  Discovery* owner_;  // null once the watch is over
  beast::tcp_stream tcp_;
  beast::flat_buffer buffer_{kMaxUnparsed};
  http::request<http::empty_body> request_;
  http::response_parser<http::buffer_body> parser_;
  std::array<char, kReadSize> piece_{};
  std::string line_;
  bool whole_ = false;  // asks for the whole list, not for a watch
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
  Open();
}

void Discovery::Switch(const Tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  generation_ = kUnknown;
  failures_ = 0;
  complained_ = false;
  if (stream_ != nullptr) std::exchange(stream_, nullptr)->Stop();
  backoff_.cancel();
  Open();
}

void Discovery::Open() {
  stream_ = std::make_shared<Stream>(*this);
  stream_->Open();
}

void Discovery::OnLine(const std::string& line) {
  std::string error = "no JSON";
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (list && !Follows(*list)) {
    generation_ = kUnknown;
    std::exchange(stream_, nullptr)->Stop();
    return OnEnd("a lower generation", /*bad_input=*/true);
  }
  if (!list) {
    std::exchange(stream_, nullptr)->Stop();
    return OnEnd(error, /*bad_input=*/true);
  }
  failures_ = 0;
  complained_ = false;
  generation_ = list->generation;
  events_.on_list(*list);
}

// Changes build on the list before them. A lower generation is told by a discovery that has begun anew:
// guards against changes on top of a list that it does not have.
bool Discovery::Follows(const EndpointList& list) const {
  return list.whole || (generation_ != kUnknown && list.generation >= generation_);
}

void Discovery::OnEnd(const std::string& reason, bool bad_input) {
  stream_ = nullptr;
  if (bad_input && !std::exchange(complained_, true))  // once: it may say the same at each reopening
    std::fprintf(stderr, "discovery: the list is kept as it was: %.200s\n", reason.c_str());
  events_.on_failed();
  if (!timing_.reopens) return;
  // Jitter guards against all sidecars coming back in the same instant when discovery does.
  const Micros most = ExponentialBackoff(timing_.backoff_base, failures_++, timing_.backoff_most);
  backoff_.expires_after(std::chrono::microseconds(std::uniform_int_distribution<Micros>(0, most)(random_)));
  backoff_.async_wait([this](ErrorCode error) {
    if (!error && stream_ == nullptr) Open();
  });
}

}  // namespace merlinrun::net
