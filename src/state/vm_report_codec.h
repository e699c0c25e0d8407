// Compact encoding of VM list lines and of what VM reports state.
#pragma once

#include "state/vm_type.h"

#include <optional>
#include <string>

namespace auburnhaven::state {

/**
 * Encodes a line of the VM list. Thread-safe.
 * @param aInfo The line.
 * @return CBOR bytes without the VM's name.
 */
std::string
encodeVmInfo(const VmInfo& aInfo);

/**
 * Decodes a line of the VM list. Thread-safe.
 * @param aVm Name of the VM.
 * @param aBytes What encodeVmInfo() made.
 * @return The line, or nothing when the bytes are not valid.
 */
std::optional<VmInfo>
decodeVmInfo(const VmId& aVm, const std::string& aBytes);

/**
 * Encodes phase and role of a report, without its incarnation, count, load and
 * time. Reports that state the same give the same bytes. Thread-safe.
 * @param aReport The report.
 * @return CBOR bytes without the VM's name.
 */
std::string
encodeVmState(const VmReport& aReport);

/**
 * Decodes phase and role of a report. Thread-safe.
 * @param aVm Name of the VM.
 * @param aBytes What encodeVmState() made.
 * @return A report with the VM, phase and role set, or nothing when the bytes
 * are not valid.
 */
std::optional<VmReport>
decodeVmState(const VmId& aVm, const std::string& aBytes);

} // namespace auburnhaven::state
