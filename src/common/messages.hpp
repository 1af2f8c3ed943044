/// All records of api/*.avsc as plain structs: the messages between sidecars and the records stored on disk.
///
/// Each struct has the name of its Avro record (`record`), the number that identifies it on the wire (`kind`,
/// see common/frame.hpp), and each(), which passes every field with its name to a visitor in the order of the
/// schema. The names passed to the visitor are those of the schema. They are part of the format and must not
/// change, also where they differ from the name of the member. A `kind` number is never reused for another
/// record.
///
/// Fields whose names end in `_ms` are in milliseconds. A default-constructed RegisterValue means that the
/// value was not sent.
#pragma once

#include "common/messages/controllers.hpp"
#include "common/messages/coordination.hpp"
#include "common/messages/endpoints.hpp"
#include "common/messages/register.hpp"
#include "common/messages/sessions.hpp"
#include "common/messages/storage.hpp"
