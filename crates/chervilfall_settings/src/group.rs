//! Groups of settings: fields that must be given, and numbers that are declared once with default,
//! range and meaning.

/// Declares the options of a group, their checked form, and their reference.
macro_rules! settings_group {
    (
        $(#[$doc:meta])*
        $group:literal, $options:ident, $settings:ident {
            $(
                plain $plain_allowed:literal
                #[doc = $plain_doc:literal]
                $plain:ident: $plain_type:ty,
            )*
            $(
                #[doc = $field_doc:literal]
                $field:ident: $type:ty = $default:literal in $low:literal..=$high:literal,
            )*
        }
    ) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, serde::Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $options {
            $(
                #[doc = $plain_doc]
                pub $plain: Option<$plain_type>,
            )*
            $(
                #[doc = $field_doc]
                pub $field: Option<$type>,
            )*
        }

        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct $settings {
            $(
                #[doc = $field_doc]
                pub $field: $type,
            )*
        }

        impl $options {
            /// Fills in defaults and checks ranges.
            pub(crate) fn resolve(&self, problems: &mut $crate::error::Problems<'_>) -> $settings {
                $(
                    let $field = self.$field.unwrap_or($default);
                    if !($low..=$high).contains(&$field) {
                        let problem = format!(
                            "is {}, but must be from {} to {}", $field, $low, $high
                        );
                        problems.add(concat!($group, ".", stringify!($field)), &problem);
                    }
                )*
                $settings { $($field,)* }
            }

            /// Reference of the group.
            pub(crate) const DOCS: &'static [$crate::docs::FieldDoc] = &[
                $(
                    $crate::docs::FieldDoc {
                        group: $group,
                        name: stringify!($plain),
                        default: "",
                        allowed: $plain_allowed,
                        doc: $plain_doc,
                    },
                )*
                $(
                    $crate::docs::FieldDoc {
                        group: $group,
                        name: stringify!($field),
                        default: stringify!($default),
                        allowed: concat!(stringify!($low), " to ", stringify!($high)),
                        doc: $field_doc,
                    },
                )*
            ];
        }
    };
}

pub(crate) use settings_group;
