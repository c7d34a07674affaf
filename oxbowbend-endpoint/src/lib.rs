/*!
Client side of model engines and plain services.

# Usage

[`run::Run`] sends a request to an engine and reads the answer whole, picking the run up again by
its id where a connection was cut. [`control`] asks an engine about runs and load and gives it
orders. Plain services are called through [`oxbowbend_http::client`] directly.

# Limits

Engines speak the OpenAI HTTP API; a run is resumed by
`GET /v1/responses/{id}?stream=true&starting_after=N` and cancelled by
`POST /v1/responses/{id}/cancel`, with our run id sent as `request_id`.
*/

#![deny(clippy::disallowed_methods)]

pub mod control;
pub mod events;
pub mod run;
