//! An operator that edits a configuration folder and publishes it through the platform.

use std::sync::Arc;
use std::time::SystemTime;

use ragwortfold::config::{self, Folder};
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{self, Base, Files, OverwritePolicy, Publication, Signature};

/// An operator with a copy of the configuration folder and the revision that it is based on.
pub(crate) struct Operator {
    name: Arc<str>,
    publication: Publication,
    files: Files,
    base: Base,
}

impl Operator {
    /// Creates an operator whose folder contains `files`.
    pub(crate) fn new(name: &str, platform: &str, files: Files) -> Self {
        Self {
            name: name.into(),
            publication: Publication::new(GuardedClient::new(Client::new(platform))),
            files,
            base: Base::Head(OverwritePolicy::Allow),
        }
    }

    /// Returns another operator with a copy of this folder.
    pub(crate) fn with_name(&self, name: &str) -> Self {
        Self {
            name: name.into(),
            publication: self.publication.clone(),
            files: self.files.clone(),
            base: self.base.clone(),
        }
    }

    /// Writes a file of the folder, or removes it if `text` is `None`, and publishes the folder. Returns
    /// the new revision.
    pub(crate) fn apply(
        &mut self,
        file: &str,
        text: Option<String>,
    ) -> Result<u64, publication::Error> {
        match text {
            Some(text) => self.files.insert(file.into(), text.into()),
            None => self.files.remove(file),
        };
        let signature = Signature {
            author: Arc::clone(&self.name),
            note: format!("demo: {file}").into(),
            time: SystemTime::now(),
        };
        let check = |files: &Files| config::check(&Folder::with_files(files.clone())).map(drop);
        let applied = self
            .publication
            .apply(&self.files, &self.base, &signature, check)?;
        self.base = Base::Pulled(applied.marker);
        Ok(applied.revision)
    }

    /// Fetches the files of the configuration in force.
    pub(crate) fn files_in_force(&self) -> Result<Files, publication::Error> {
        let pulled = self.publication.pull()?;
        Ok(pulled.unwrap_or_default().files)
    }
}
