#include <prometheus/text_serializer.h>

#include <catch2/catch.hpp>
#include <string>

#include "mesh/metrics/request_metrics.hpp"

namespace fennelhollow::metrics {
namespace {

std::string Text(const prometheus::Registry& registry) {
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a refusal is counted by its route, class, hop and cause") {
  prometheus::Registry registry;
  RequestMetrics metrics(registry);
  const RequestLabels request{"r-added", "safe-2-300"};
  metrics.OnEnded(request, "refused");
  metrics.OnRefused(request, Hop::kLastHop, "full");
  metrics.OnEnded(request, "refused");
  metrics.OnRefused(request, Hop::kLastHop, "full");
  metrics.OnEnded(request, "served");
  const std::string text = Text(registry);
  INFO(text);
  CHECK(Contains(text,
                 "fennelhollow_refusals_total{cause=\"full\",class=\"safe-2-300\",hop=\"last_hop\",route=\"r-"
                 "added\"} 2"));
  CHECK(Contains(text,
                 "fennelhollow_requests_total{class=\"safe-2-300\",result=\"served\",route=\"r-added\"} 1"));
}

TEST_CASE("the number of series is bounded") {
  prometheus::Registry registry;
  RequestMetrics metrics(registry);
  for (int i = 0; i < 10'000; ++i) metrics.OnEnded({"r" + std::to_string(i), "safe-0-50"}, "served");
  const auto families = registry.Collect();
  std::size_t series = 0;
  for (const auto& family : families) series += family.metric.size();
  CHECK(series == kMaxRoutes + 1);
  CHECK(Contains(Text(registry), "route=\"other\"} 9744"));
}

}  // namespace
}  // namespace fennelhollow::metrics
