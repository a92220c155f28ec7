//! A bounded queue by deadline and class.
