//! The accounts that client certificates are bound to.

use std::collections::HashMap;

use x509_parser::prelude::{FromDer, X509Certificate};

/// Maps the common name of a client certificate's subject to the index of an account.
#[derive(Clone, Debug, Default)]
pub struct ClientAccounts {
    accounts: HashMap<String, u32>,
}

impl ClientAccounts {
    /// Binds a name to an account's index. Returns false, without effect, if the name is already bound to another
    /// account.
    pub fn bind(&mut self, name: String, account: u32) -> bool {
        *self.accounts.entry(name).or_insert(account) == account
    }

    /// Whether no name is bound.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the index of the account that a client's certificate (DER) is bound to. A subject with two common
    /// names is not bound to any account, because it is ambiguous which name applies.
    pub fn account(&self, certificate: &[u8]) -> Option<u32> {
        let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
        let mut names = certificate.subject().iter_common_name();
        let (name, second_name) = (names.next()?.as_str().ok()?, names.next());
        if second_name.is_some() {
            return None;
        }
        self.accounts.get(name).copied()
    }
}
