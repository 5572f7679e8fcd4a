#include "mesh/metrics/process_metrics.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "mesh/metrics/gauge.hpp"

namespace fennelhollow::metrics {
namespace {

std::uint64_t CountDescriptors() {
  std::error_code error;
  std::filesystem::directory_iterator entry("/proc/self/fd", error);
  std::uint64_t count = 0;
  for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) ++count;
  return count == 0 ? 0 : count - 1;  // without the one that reads the directory
}

std::uint64_t LimitOf(__rlimit_resource resource) {
  rlimit limit{};
  if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return 0;
  return limit.rlim_cur;
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  const auto page_bytes = static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
  std::uint64_t address_space_pages = 0, resident_pages = 0;
  if (std::ifstream("/proc/self/statm") >> address_space_pages >> resident_pages) {
    usage.address_space_bytes = address_space_pages * page_bytes;
    usage.resident_bytes = resident_pages * page_bytes;
  }
  usage.descriptors = CountDescriptors();
  usage.address_space_limit = LimitOf(RLIMIT_AS);
  usage.descriptor_limit = LimitOf(RLIMIT_NOFILE);
  usage.file_size_limit = LimitOf(RLIMIT_FSIZE);
  return usage;
}

ProcessMetrics::ProcessMetrics(prometheus::Registry& registry)
    : resident_bytes_(AddGauge(registry, "process_resident_memory_bytes", "Resident memory")),
      address_space_bytes_(AddGauge(registry, "process_virtual_memory_bytes", "Address space")),
      descriptors_(AddGauge(registry, "process_open_fds", "Open file descriptors")),
      address_space_limit_(
          AddGauge(registry, "process_virtual_memory_max_bytes", "Limit of address space; 0: none")),
      descriptor_limit_(AddGauge(registry, "process_max_fds", "Limit of file descriptors; 0: none")),
      file_size_limit_(AddGauge(registry, "process_file_size_max_bytes", "Limit of a file's size; 0: none")) {
}

void ProcessMetrics::Update() {
  const ProcessUsage usage = ReadProcessUsage();
  resident_bytes_.Set(static_cast<double>(usage.resident_bytes));
  address_space_bytes_.Set(static_cast<double>(usage.address_space_bytes));
  descriptors_.Set(static_cast<double>(usage.descriptors));
  address_space_limit_.Set(static_cast<double>(usage.address_space_limit));
  descriptor_limit_.Set(static_cast<double>(usage.descriptor_limit));
  file_size_limit_.Set(static_cast<double>(usage.file_size_limit));
}

}  // namespace fennelhollow::metrics
