//! Program `cumin-mutate`: runs the fuzz targets on mutations of a corpus, repeatable by a seed.

use std::fs;
use std::path::Path;

use anyhow::{Context, bail};
use clap::{Arg, ArgAction, Command, value_parser};
use cuminspread_fuzz::target::Target;
use cuminspread_fuzz::{mutate, seeds};

fn main() -> anyhow::Result<()> {
    let args = command().get_matches();
    let corpus = args
        .get_one::<String>("corpus")
        .map_or("fuzz/corpus", String::as_str);
    if args.get_flag("write-seeds") {
        return write_seeds(Path::new(corpus));
    }
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let count = args.get_one("count").copied().unwrap_or(100_000);
    for target in Target::ALL {
        let inputs = read_corpus(&Path::new(corpus).join(target.label()))?;
        mutate::run(target, &inputs, seed, count);
        println!(
            "target={} inputs={} seed={seed} count={count} clean",
            target.label(),
            inputs.len()
        );
    }
    Ok(())
}

fn command() -> Command {
    Command::new("cumin-mutate")
        .about("Runs the fuzz targets on mutations of a corpus, repeatable by a seed")
        .arg(Arg::new("corpus").long("corpus").value_name("FOLDER"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("write-seeds")
                .long("write-seeds")
                .action(ArgAction::SetTrue)
                .help("Writes the generated corpus files anew, after a change of a wire format"),
        )
}

fn read_corpus(folder: &Path) -> anyhow::Result<Vec<Vec<u8>>> {
    let context = || format!("step=read_corpus folder={}", folder.display());
    let entries = fs::read_dir(folder).with_context(context)?;
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry.with_context(context)?.path());
    }
    if paths.is_empty() {
        bail!("step=read_corpus folder={} cause=empty", folder.display());
    }
    paths.sort();
    paths
        .iter()
        .map(|path| fs::read(path).with_context(context))
        .collect()
}

fn write_seeds(corpus: &Path) -> anyhow::Result<()> {
    for seed in seeds::envelopes() {
        let data = postcard::to_extend(&seed.envelope, Vec::new());
        let data = data.with_context(|| format!("step=encode file={}", seed.name))?;
        write(corpus, Target::Envelope, seed.name, &data)?;
    }
    for file in seeds::files() {
        write(corpus, file.target, file.name, &file.data)?;
    }
    Ok(())
}

fn write(corpus: &Path, target: Target, name: &str, data: &[u8]) -> anyhow::Result<()> {
    let folder = corpus.join(target.label());
    let context = || format!("step=write_seeds folder={} file={name}", folder.display());
    fs::create_dir_all(&folder).with_context(context)?;
    fs::write(folder.join(name), data).with_context(context)
}
