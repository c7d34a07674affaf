/*!
Declared resources of oxbowbend: their kinds, the checks on them, and their revisions.

# Usage

[`file::parse`] reads a file of resources and reports every mistake in it. A [`set::ResourceSet`]
holds all resources of one revision; [`manifest::Manifest`] turns an operator's change into the
values to write to the platform's key-value service. [`derive::topology`] reduces a set to what
scheduling needs.

# Limits

One bucket of resources must fit the service's largest value, a megabyte. With the bucket counts
in [`manifest`], that allows about 200,000 client accounts.
*/

pub mod check;
pub mod derive;
pub mod file;
pub mod kinds;
pub mod manifest;
pub mod set;
