//! An operator: a folder of files and its marker, published through the platform.

use std::sync::Arc;
use std::time::SystemTime;

use ragwortfold::config::{self, Folder};
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{self, Base, Files, OverwritePolicy, Publication, Signature};

/// One operator.
pub(crate) struct Operator {
    name: Arc<str>,
    publication: Publication,
    files: Files,
    base: Base,
}

impl Operator {
    /// An operator whose folder has these files.
    pub(crate) fn new(name: &str, platform: &str, files: Files) -> Self {
        Self {
            name: name.into(),
            publication: Publication::new(GuardedClient::new(Client::new(platform))),
            files,
            base: Base::Head(OverwritePolicy::Allow),
        }
    }

    /// Another operator with the same folder.
    pub(crate) fn with_name(&self, name: &str) -> Self {
        Self {
            name: name.into(),
            publication: self.publication.clone(),
            files: self.files.clone(),
            base: self.base.clone(),
        }
    }

    /// Writes a file of the folder, or removes it, and applies the folder. Answers the revision.
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

    /// The files in force.
    pub(crate) fn in_force(&self) -> Result<Files, publication::Error> {
        let found = self.publication.pull()?;
        Ok(found.unwrap_or_default().files)
    }
}
