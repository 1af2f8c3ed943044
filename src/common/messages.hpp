/// All records of api/*.avsc as plain structs: messages between sidecars, and what they store on disk.
///
/// Each struct has the name of its Avro record (`record`), the number that stands for it on the wire (`kind`,
/// see common/frame.hpp), and each(), which names every field to a visitor in the order of the schema. The
/// names that are given to the visitor are those of the schema, and older than the names of the fields: they
/// are part of the format and stay. `kind` numbers are never used again for another record.
///
/// Times are in milliseconds where the field's name ends in `_ms`. An empty RegisterValue (a
/// default-constructed one) stands for "not sent".
#pragma once

#include "common/messages/controllers.hpp"
#include "common/messages/coordination.hpp"
#include "common/messages/endpoints.hpp"
#include "common/messages/register.hpp"
#include "common/messages/sessions.hpp"
#include "common/messages/storage.hpp"
