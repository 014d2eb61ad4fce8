//! The methods that query the server and its models; they are answered without the core.

use bytes::Bytes;
use cedarpulley_kserve::client_requests::{self, function_name};
use cedarpulley_kserve::grpc::inference as wire;
use cedarpulley_kserve::grpc::{Code, Method};
use prost::Message;

use super::{error_response, message_response};
use crate::answer_body::Reply;
use crate::request_handling::RequestHandler;

/// Answers the methods that query the server and its models.
pub(super) fn query_response(handler: &RequestHandler, method: Method, message: Bytes) -> Reply {
    match method {
        Method::ServerLive => message_response(&wire::ServerLiveResponse { live: true }),
        Method::ServerReady => message_response(&wire::ServerReadyResponse {
            ready: handler.is_ready(),
        }),
        Method::ServerMetadata => message_response(&wire::ServerMetadataResponse {
            name: "cedarpulley".into(),
            version: env!("CARGO_PKG_VERSION").into(),
            extensions: client_requests::EXTENSIONS.map(str::to_owned).to_vec(),
        }),
        Method::ModelReady => match requested_function(message) {
            // Functions are loaded on demand, so every valid name is ready.
            Ok(_) => message_response(&wire::ModelReadyResponse { ready: true }),
            Err(cause) => error_response(Code::InvalidArgument, cause),
        },
        Method::ModelMetadata => match requested_function(message) {
            Ok(function) => model_metadata_response(&function),
            Err(cause) => error_response(Code::InvalidArgument, cause),
        },
        Method::RepositoryIndex => repository_index_response(&(handler.resources.functions)()),
        Method::ModelInfer => error_response(Code::Internal, "not here"),
    }
}

/// The function named by a request for readiness or metadata; both requests have the same message format.
fn requested_function(message: Bytes) -> Result<String, &'static str> {
    let request =
        wire::ModelReadyRequest::decode(message).map_err(|_| "the message cannot be read")?;
    function_name(&request.name, &request.version).ok_or("no model has such a name")
}

fn model_metadata_response(function: &str) -> Reply {
    let (name, version) = client_requests::split_version(function);
    let versions = if version.is_empty() {
        vec![]
    } else {
        vec![version.to_owned()]
    };
    message_response(&wire::ModelMetadataResponse {
        name: name.to_owned(),
        versions,
        ..Default::default()
    })
}

fn repository_index_response(functions: &[String]) -> Reply {
    let models = functions.iter().map(|function| {
        let (name, version) = client_requests::split_version(function);
        wire::repository_index_response::ModelIndex {
            name: name.into(),
            version: version.into(),
            state: "READY".into(),
            reason: String::new(),
        }
    });
    message_response(&wire::RepositoryIndexResponse {
        models: models.collect(),
    })
}
