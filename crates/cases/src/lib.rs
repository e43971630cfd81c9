//! Table-driven tests: [`cases!`] makes one test of each named input.

/// Defines one `#[test]` per named input. Each calls the same function with its input.
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
