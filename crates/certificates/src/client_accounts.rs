//! Which account a client's certificate is bound to.

use std::collections::HashMap;

use x509_parser::prelude::{FromDer, X509Certificate};

/// Accounts by the common name of a client certificate's subject.
#[derive(Clone, Debug, Default)]
pub struct ClientAccounts {
    accounts: HashMap<String, u32>,
}

impl ClientAccounts {
    /// Binds a name to an account's index. False if the name is bound to another account already.
    pub fn bind(&mut self, name: String, account: u32) -> bool {
        *self.accounts.entry(name).or_insert(account) == account
    }

    /// No name is bound.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The index of the account that a client's certificate (DER) is bound to. A subject with two common names is
    /// bound to none, as it is not clear which of them counts.
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
