// Reports of a comparison as text, as one self-contained HTML page and as JSON. The output is deterministic.
#ifndef MERLINRUN_MODEL_REPORT_HPP_
#define MERLINRUN_MODEL_REPORT_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "model/compare.hpp"

namespace merlinrun::model {

std::string TextReport(const ComparisonPlan& plan, const Comparison& comparison);
std::string JsonReport(const ComparisonPlan& plan, const Comparison& comparison);
std::string HtmlReport(const ComparisonPlan& plan, const Comparison& comparison);

const char* NameOf(Verdict verdict);

// JSON form of a day's result. FromJson throws nlohmann::json::exception if the input is invalid.
nlohmann::json ToJson(const DayResult& day);
DayResult FromJson(const nlohmann::json& json);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_REPORT_HPP_
