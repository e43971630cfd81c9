//! [`cases!`] turns a table of named inputs into one test each.

/// Names each case of a check: one `#[test]` per line, all calling the same function.
///
/// ```
/// cases::cases! {
///     is_even;
///     zero: 0,
///     two: 2,
/// }
/// fn is_even(number: u32) {
///     assert_eq!(number % 2, 0);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: $input:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                $check($input);
            }
        )+
    };
}
