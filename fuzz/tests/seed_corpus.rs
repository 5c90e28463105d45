//! Guards against unintended changes of wire formats: the committed corpus files decode to, or are
//! equal to, the values that they were generated from.

use std::fs;
use std::path::Path;

use cuminspread::protocol::envelope::Envelope;
use cuminspread_fuzz::seeds;

#[test]
fn committed_envelopes_decode_to_their_seeds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus/datagram");
    for seed in seeds::envelopes() {
        let data = fs::read(folder.join(seed.name)).expect("the corpus is committed");
        let envelope = postcard::from_bytes::<Envelope>(&data);
        assert_eq!(envelope.as_ref(), Ok(&seed.envelope), "{}", seed.name);
    }
}

#[test]
fn committed_files_equal_their_seeds() {
    let corpus = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    for file in seeds::files() {
        let path = corpus.join(file.target.label()).join(file.name);
        let data = fs::read(&path).expect("the corpus is committed");
        assert!(data == file.data, "{} differs", path.display());
    }
}
