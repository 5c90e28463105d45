//! The wire formats are those of the committed corpus.

use std::fs;
use std::path::Path;

use cuminspread::protocol::envelope::Envelope;
use cuminspread_fuzz::seeds;

#[test]
fn datagrams_are_as_committed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus/datagram");
    for seed in seeds::datagrams() {
        let data = fs::read(folder.join(seed.name)).expect("the corpus is committed");
        let envelope = postcard::from_bytes::<Envelope>(&data);
        assert_eq!(envelope.as_ref(), Ok(&seed.envelope), "{}", seed.name);
    }
}

#[test]
fn files_are_as_committed() {
    let corpus = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    for file in seeds::files() {
        let path = corpus.join(file.target.label()).join(file.name);
        let data = fs::read(&path).expect("the corpus is committed");
        assert!(data == file.data, "{} differs", path.display());
    }
}
