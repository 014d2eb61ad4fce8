//! [`FollowingInput`]: what has arrived behind a request on its connection. A client that pipelines sends its next
//! request there. Bytes that cannot begin a request show that the body before them is longer than its declared length.

/// The methods of requests that get a response of their own.
const METHODS: [&[u8]; 8] = [
    b"POST", b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"TRACE", b"PATCH",
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
    /// Classifies bytes that may be the beginning of a request head: a method, and a target that begins as a path, a URL
    /// or an asterisk.
    pub fn of_partial_head(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return FollowingInput::Nothing;
        }
        let method = bytes.split(|byte| *byte == b' ').next().unwrap_or(bytes);
        let target = bytes[method.len()..].get(1);
        let is_method_complete = method.len() < bytes.len();
        match target {
            None if !is_method_complete => Self::of_partial_method(method),
            _ if !METHODS.contains(&method) => FollowingInput::NotARequest,
            None => FollowingInput::Undecided,
            Some(b'/' | b'*' | b'h') => FollowingInput::Request,
            Some(_) => FollowingInput::NotARequest,
        }
    }

    fn of_partial_method(bytes: &[u8]) -> Self {
        if METHODS.iter().any(|method| method.starts_with(bytes)) {
            FollowingInput::Undecided
        } else {
            FollowingInput::NotARequest
        }
    }

    /// Classifies bytes that cannot be parsed as a request head, or form a head that is rejected. With a valid request
    /// line they are a request.
    pub fn of_rejected_head(bytes: &[u8]) -> Self {
        let mut head = httparse::Request::new(&mut []);
        // Parsing fails at the first header field at the latest, and the version is the end of the request line.
        let _ = head.parse(bytes);
        match Self::of_partial_head(bytes) {
            FollowingInput::Request if head.version.is_some() => FollowingInput::Request,
            _ => FollowingInput::NotARequest,
        }
    }
}
