//! [`FollowingInput`]: what has arrived behind a request on its connection. A client that pipelines sends its next
//! request there. Bytes that cannot begin a request show that the body before them is longer than its declared length.

/// How the requests begin that get a response of their own.
const REQUEST_STARTS: [&[u8]; 9] = [
    b"POST /",
    b"GET /",
    b"HEAD /",
    b"PUT /",
    b"DELETE /",
    b"CONNECT /",
    b"OPTIONS /",
    b"TRACE /",
    b"PATCH /",
];

/// What has arrived behind a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowingInput {
    /// Nothing.
    Nothing,
    /// Empty lines, or the first bytes of a method: too little to tell a request from the rest of a body.
    Undecided,
    /// A further request, complete or in part, well-formed or not.
    Request,
    /// Bytes that do not begin a request.
    NotARequest,
}

impl FollowingInput {
    /// Classifies bytes that may be the beginning of a request head.
    pub fn of_partial_head(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            FollowingInput::Nothing
        } else if REQUEST_STARTS.iter().any(|start| bytes.starts_with(start)) {
            FollowingInput::Request
        } else if REQUEST_STARTS.iter().any(|start| start.starts_with(bytes)) {
            FollowingInput::Undecided
        } else {
            FollowingInput::NotARequest
        }
    }

    /// Classifies bytes that cannot be parsed as a request head. With a valid request line they are a malformed
    /// request.
    pub fn of_malformed_head(bytes: &[u8]) -> Self {
        let mut head = httparse::Request::new(&mut []);
        // Parsing fails at the first header field at the latest, and the version is the end of the request line.
        let _ = head.parse(bytes);
        if head.version.is_some() {
            FollowingInput::Request
        } else {
            FollowingInput::NotARequest
        }
    }
}
