/// Reads and writes the messages of the operators' table in frames.
#ifndef CROWSTEP_CONTRACT_TABLE_WIRE_H
#define CROWSTEP_CONTRACT_TABLE_WIRE_H

#include "contract/table_core_type.h"

namespace crowstep::contract {

/// Returns the events for the messages in \p Frame. A document that can't be
/// decoded is logged and left out.
std::vector<TableEvent> tableEventsOf(link::LinkId Link,
                                      const wire::Frame &Frame);

void addDocument(const TableDocument &Value, wire::FrameT &Frame);
void addDocumentRequest(TableVersion Version, wire::FrameT &Frame);
void addProbe(const SendProbe &Probe, wire::FrameT &Frame);
void addProbeAnswer(const ProbeAnswer &Answer, wire::FrameT &Frame);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_WIRE_H
