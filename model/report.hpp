// What a comparison came to, for people (text, one HTML page without anything from elsewhere) and for
// programs (JSON). The same comparison gives the same bytes.
#ifndef MERLINRUN_MODEL_REPORT_HPP_
#define MERLINRUN_MODEL_REPORT_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "model/compare.hpp"

namespace merlinrun::model {

std::string TextReport(const Plan& plan, const Comparison& comparison);
std::string JsonReport(const Plan& plan, const Comparison& comparison);
std::string HtmlReport(const Plan& plan, const Comparison& comparison);

const char* NameOf(Verdict verdict);

// A day as JSON, and back. FromJson throws nlohmann::json::exception on what is no day.
nlohmann::json ToJson(const DayResult& day);
DayResult FromJson(const nlohmann::json& json);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_REPORT_HPP_
