#![allow(missing_docs)]
